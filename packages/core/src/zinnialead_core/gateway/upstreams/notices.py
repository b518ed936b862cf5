"""Apply what upstreams announce about themselves in their answers."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.upstreams import models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import notices


def apply(
    world: world_module.World, event: inp.UpstreamAnnounced
) -> abc.Iterator[out.Output]:
    """Apply an announcement to the run that made it."""
    ended = world.upstreams.ended.get(event.upstream)
    if ended is not None and not event.is_misdirected:
        # The run may register again.
        ended_row = ended._replace(leaving=True)
        world.upstreams.ended[event.upstream] = ended_row
    for row in list(_senders(world, event)):
        match event.notice:
            case notices.Leaves():
                yield from _leave(world, row, event.name)


def _senders(
    world: world_module.World, event: inp.UpstreamAnnounced
) -> abc.Iterator[models.UpstreamRow]:
    """Yield the upstreams that may have sent the answer.

    A misdirected request was answered by another upstream, to which the
    address has been given since.
    """
    for row in world.upstreams.rows.values():
        is_asked = row.upstream == event.upstream
        if event.is_misdirected and not is_asked:
            if row.address == event.address:
                yield row
        elif is_asked and not event.is_misdirected:
            yield row


def _leave(
    world: world_module.World, row: models.UpstreamRow, name: str
) -> abc.Iterator[out.Output]:
    if row.leaving:
        return
    world.upstreams.rows[row.upstream] = row._replace(leaving=True)
    world.upstreams.generations[row.service] += 1
    world.counters['upstreams.announced_leaving'] += 1
    yield out.LogStateChange(
        'upstreams', row.upstream, 'in service', 'leaving', f'answer to {name}'
    )
