"""Estimates the length of a prompt in tokens. A tokenizer would replace only this file."""

BYTES_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4  # for the role and the separators


def estimate_tokens(texts: list[str]) -> int:
    """Estimates the tokens of a prompt that consists of these messages."""
    return sum(-(-len(text.encode()) // BYTES_PER_TOKEN) + TOKENS_PER_MESSAGE for text in texts)
