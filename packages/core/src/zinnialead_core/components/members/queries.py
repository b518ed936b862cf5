"""Query the members table."""

from collections import abc
import typing

from zinnialead_core.components.members import const
from zinnialead_core.components.members import models
from zinnialead_core import ids

if typing.TYPE_CHECKING:
    from zinnialead_core import world as world_module


def own_row(world: 'world_module.World') -> models.MemberRow:
    """Return this entry's own row."""
    return world.members[world.node.ref.entry]


def live_peers(
    world: 'world_module.World',
) -> abc.Iterator[models.MemberRow]:
    """Yield the rows of the other entries that are not dead."""
    own_entry = world.node.ref.entry
    for row in world.members.values():
        if row.health is not models.Health.DEAD and row.entry != own_entry:
            yield row


def domain_peers(
    world: 'world_module.World',
) -> abc.Iterator[models.MemberRow]:
    """Yield the live peers in this entry's domain."""
    for row in live_peers(world):
        if row.domain == world.node.domain:
            yield row


def other_domain_peers(
    world: 'world_module.World',
) -> abc.Iterator[models.MemberRow]:
    """Yield the live peers outside this entry's domain."""
    for row in live_peers(world):
        if row.domain != world.node.domain:
            yield row


def sample_entries(
    world: 'world_module.World',
    rows: abc.Iterable[models.MemberRow],
    count: int,
) -> abc.Sequence[ids.EntryId]:
    """Return a random sample of up to ``count`` of the rows' entries."""
    entries = [row.entry for row in rows]
    return world.random.sample(entries, min(count, len(entries)))


def random_peer(world: 'world_module.World') -> ids.EntryId | None:
    """Return a random live peer, or None after a few misses.

    This samples instead of filtering all rows, to stay cheap per round.
    """
    entries = list(world.members)
    for _ in range(const.RANDOM_PEER_TRIES):
        row = world.members[world.random.choice(entries)]
        dead = row.health is models.Health.DEAD
        if not dead and row.entry != world.node.ref.entry:
            return row.entry
    return None


def entry_ref(row: models.MemberRow) -> ids.EntryRef:
    """Return the entry and incarnation that a row describes."""
    return ids.EntryRef(row.entry, row.incarnation)
