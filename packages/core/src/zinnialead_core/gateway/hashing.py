"""Hash texts alike on every entry."""

import xxhash


def weight(*parts: str) -> int:
    """Return a 64-bit number that depends on ``parts`` alone.

    >>> weight('a', 'b') == weight('a', 'b')
    True
    """
    return int(xxhash.xxh64_intdigest('|'.join(parts).encode()))
