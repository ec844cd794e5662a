"""How long a prompt is, in tokens. An estimate for now: the one place that a tokenizer is to replace."""

BYTES_PER_TOKEN = 4
PER_MESSAGE = 4  # tokens around each message


def tokens(texts: list[str]) -> int:
    """Tokens of a prompt made of these messages: four UTF-8 bytes each, and four for each message."""
    return sum(-(-len(text.encode()) // BYTES_PER_TOKEN) + PER_MESSAGE for text in texts)
