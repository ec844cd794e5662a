"""Answers that depend on the prompt alone, so that a client knows every byte that it must receive."""

import random
from hashlib import blake2b

WORDS = [
    "fuel",
    "card",
    "pump",
    "limit",
    "truck",
    "route",
    "litre",
    "station",
    "refused",
    "approved",
    "month",
    "diesel",
    "total",
    "driver",
    "fleet",
    "plate",
    "código",
    "não",
    "está",
    "até",
    "às",
    "três",
    "café",
    "over—under",
    "¿why?",
    "25%",
    "«ok»",
    "naïve",
]


def answer(messages: list[dict], max_tokens: int, so_far: str = "") -> list[str]:
    """The tokens that follow `so_far` in the answer to these messages. Each token is one word.

    The length of the whole answer depends on the messages alone: an answer that another engine resumes ends
    where it would have ended.
    """
    last = "\0".join(str(message.get("content")) for message in messages[-3:])
    seed = int.from_bytes(blake2b(last.encode("utf-8", "replace"), digest_size=8).digest())
    rng = random.Random(seed)
    words = [rng.choice(WORDS) + " " for _ in range(rng.randint(12, 300))]
    length = 0
    for index, word in enumerate(words):
        length += len(word)
        if length > len(so_far):  # also the rest of a word that was cut
            return [word[len(word) - (length - len(so_far)) :], *words[index + 1 :]][:max_tokens]
    return []


def filler(rng: random.Random, tokens: int) -> str:
    """Text of about this many tokens, at four bytes a token."""
    start = f"{rng.getrandbits(64):016x} "
    return start + "lorem ip" * max((tokens * 4 - len(start)) // 8, 0)
