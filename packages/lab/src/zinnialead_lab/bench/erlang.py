"""Compute the mean wait for pooled slots by Erlang's C formula."""


def wait_factor(slots: int, load: float) -> float:
    """Return the mean wait in units of the service time (M/M/c).

    >>> round(wait_factor(6, 0.9), 3)
    1.234
    """
    offered_load = slots * load
    blocking = 1.0
    for number in range(1, slots + 1):
        blocking = offered_load * blocking / (number + offered_load * blocking)
    waiting = blocking / (1.0 - load * (1.0 - blocking))
    return waiting / (slots * (1.0 - load))
