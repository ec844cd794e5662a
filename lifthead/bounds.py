"""Bounds of the numbers that arrive from outside: clients, engines, the engine list and settings.

Each codec applies them as it parses a message, so that the decision module gets no number whose size alone
could break its arithmetic. Standard library only.
"""

MAX_TOKENS = 999_999_999  # in one count of tokens
MAX_LOAD_FIGURE = 1e6  # of any figure of a load report: requests, a share, or thousands of tokens
MAX_INT64 = (1 << 63) - 1


def valid_token_count(count: int) -> int:
    """Returns a reported count of tokens; 0, as if it had not been reported, if it is out of bounds."""
    return count if 0 <= count <= MAX_TOKENS else 0


def is_valid_load_figure(value: float) -> bool:
    """Whether a figure of a load report is usable. Infinities, not-a-numbers and negative ones are not."""
    return 0 <= value <= MAX_LOAD_FIGURE
