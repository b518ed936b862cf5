"""Bound a rate by a token bucket, whose row its owner keeps."""

import typing

MS_PER_S = 1_000.0


class BucketRow(typing.NamedTuple):
    """Hold how many tokens there were at a time."""

    tokens: float
    at_ms: float


class Taken(typing.NamedTuple):
    """Hold a bucket after tokens were asked for, and whether it had them."""

    row: BucketRow
    is_allowed: bool


def take(
    row: BucketRow,
    now_ms: float,
    per_s: float,
    most: float,
    cost: float = 1.0,
) -> Taken:
    """Return a bucket filled up to now, less ``cost`` if it holds so much.

    >>> full = BucketRow(1.0, 0.0)
    >>> take(full, 0.0, 2.0, 5.0).is_allowed
    True
    >>> take(BucketRow(0.0, 0.0), 400.0, 2.0, 5.0)
    Taken(row=BucketRow(tokens=0.8, at_ms=400.0), is_allowed=False)
    """
    gained = (now_ms - row.at_ms) * per_s / MS_PER_S
    tokens = min(most, row.tokens + gained)
    is_allowed = tokens >= cost
    left = tokens - cost if is_allowed else tokens
    return Taken(BucketRow(left, now_ms), is_allowed)
