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


def answer(messages: list[dict], max_tokens: int) -> list[str]:
    """The words of the answer to these messages, one a token."""
    last = "\0".join(str(message.get("content")) for message in messages[-3:])
    seed = int.from_bytes(blake2b(last.encode("utf-8", "replace"), digest_size=8).digest())
    chance = random.Random(seed)
    count = max(1, min(max_tokens, chance.randint(max_tokens // 2, max_tokens)))
    return [chance.choice(WORDS) + " " for _ in range(count)]


def filler(chance: random.Random, tokens: int) -> str:
    """About so many tokens of text, at four bytes a token."""
    start = f"{chance.getrandbits(64):016x} "
    return start + "lorem ip" * max((tokens * 4 - len(start)) // 8, 0)
