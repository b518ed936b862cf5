"""Limit rates by token buckets; the caller stores the rows."""

import typing

MS_PER_S = 1_000.0


class BucketRow(typing.NamedTuple):
    """Hold how many tokens a bucket had at ``at_ms``."""

    tokens: float
    at_ms: float


class TakeResult(typing.NamedTuple):
    """Hold a bucket after a request for tokens, and whether it had them."""

    row: BucketRow
    is_allowed: bool


def take(
    row: BucketRow,
    now_ms: float,
    refill_per_s: float,
    capacity: float,
    cost: float = 1.0,
) -> TakeResult:
    """Refill a bucket up to now and take ``cost`` tokens if it has them.

    >>> full = BucketRow(1.0, 0.0)
    >>> take(full, 0.0, 2.0, 5.0).is_allowed
    True
    >>> take(BucketRow(0.0, 0.0), 400.0, 2.0, 5.0)
    TakeResult(row=BucketRow(tokens=0.8, at_ms=400.0), is_allowed=False)
    """
    refilled = (now_ms - row.at_ms) * refill_per_s / MS_PER_S
    tokens = min(capacity, row.tokens + refilled)
    is_allowed = tokens >= cost
    remaining = tokens - cost if is_allowed else tokens
    return TakeResult(BucketRow(remaining, now_ms), is_allowed)
