"""Read what upstreams announce in the heads of their answers."""

from collections import abc

import httpcore

from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import notices
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.upstreams import const
from zinnialead_daemon.components.upstreams import models


def feed(
    pools: models.Pools,
    upstream: ids.UpstreamId,
    address: str,
    name: str,
    response: httpcore.Response,
) -> tuple[notices.Notice, ...]:
    """Feed the announcements in an answer to the core, and return them."""
    found = tuple(read(response))
    if found:
        announced = (
            inp.UpstreamAnnounced(upstream, address, notice, name)
            for notice in found
        )
        engines.feed(pools.engine, *announced)
    return found


def read(response: httpcore.Response) -> abc.Iterator[notices.Notice]:
    """Yield the announcements in the head of an answer.

    >>> answer = httpcore.Response(
    ...     503, headers=[(b'Zinnialead-Pause', b'2'), (b'Retry-After', b'9')]
    ... )
    >>> list(read(answer))
    [Pauses(pause_ms=2000.0)]
    """
    lengths: list[str] = []
    for name, value in response.headers:
        match name.lower():
            case const.HEADER_LEAVING if value.strip() == const.LEAVING:
                yield notices.Leaves()
            case const.HEADER_PAUSE if response.status == const.SHED_STATUS:
                lengths.append(value.decode('latin-1'))
    yield from notices.read_pauses(lengths)
