"""Log the objects that can't be read."""

from collections import abc

from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway import world as world_module


def record(
    world: world_module.World,
    kind: models.Kind,
    rows: abc.Iterable[models.Unreadable],
) -> abc.Iterator[out.Output]:
    """Count and log each unreadable object, once per change of it."""
    table = world.store.unreadable
    for row in rows:
        key = (kind, row.name)
        if table.get(key) == row.revision:
            continue
        table.pop(key, None)
        while len(table) >= const.UNREADABLE_MAX:
            table.pop(next(iter(table)))
        table[key] = row.revision
        world.counters[f'store.unreadable.{kind.value}'] += 1
        yield out.LogStateChange(
            'store',
            f'{kind.value} {row.name}',
            'unknown',
            'unreadable',
            f'revision {row.revision}: {row.reason}',
        )
