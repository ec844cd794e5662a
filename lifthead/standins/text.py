"""Answers that are a function of the prompt, so that a client knows each byte it has to get."""

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
    """The words of the answer to these messages that come after `so_far`, one a token. How long the whole is
    depends on the messages alone: an answer that is continued elsewhere ends where it would have ended."""
    last = "\0".join(str(message.get("content")) for message in messages[-3:])
    seed = int.from_bytes(blake2b(last.encode("utf-8", "replace"), digest_size=8).digest())
    chance = random.Random(seed)
    words = [chance.choice(WORDS) + " " for _ in range(chance.randint(12, 300))]
    size = 0
    for at, word in enumerate(words):
        size += len(word)
        if size > len(so_far):  # of a word that was cut, the rest
            return [word[len(word) - (size - len(so_far)) :], *words[at + 1 :]][:max_tokens]
    return []


def filler(chance: random.Random, tokens: int) -> str:
    """About so many tokens of text, at four bytes a token."""
    start = f"{chance.getrandbits(64):016x} "
    return start + "lorem ip" * max((tokens * 4 - len(start)) // 8, 0)
