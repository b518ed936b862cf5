"""Tell peers what changed among the members, within bounds."""

from collections import abc
import heapq
import math

from zinnialead_core.components.members import const
from zinnialead_core.components.members import messages
from zinnialead_core.components.members import models
from zinnialead_core.components.members import queries
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import world as world_module

News = tuple[models.MemberRow, ...]


def spread(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> None:
    """Note that an entry's row is news, to be pushed soon."""
    world.probes.news[entry] = 0
    world.probes.urgent[entry] = None
    if timers.GossipDue() not in world.timers.due_ms:
        due_ms = now_ms + const.URGENT_PERIOD_MS * world.random.random()
        timers.start(world.timers, timers.GossipDue(), due_ms)


def push(world: world_module.World, now_ms: float) -> abc.Iterator[out.Output]:
    """Push urgent news to a few peers, each of which pushes it further."""
    urgent = world.probes.urgent
    entries = list(urgent)[: const.URGENT_MAX]
    for entry in entries:
        del urgent[entry]
    yield from tell(
        world,
        [
            *queries.sample_entries(
                world, queries.domain_peers(world), const.URGENT_FANOUT
            ),
            *queries.sample_entries(
                world,
                queries.other_domain_peers(world),
                const.URGENT_FOREIGN_FANOUT,
            ),
        ],
        tuple(world.members[x] for x in entries if x in world.members),
    )
    if urgent:
        due_ms = now_ms + const.URGENT_PERIOD_MS
        timers.start(world.timers, timers.GossipDue(), due_ms)


def tell(
    world: world_module.World, entries: abc.Iterable[ids.EntryId], rows: News
) -> abc.Iterator[out.Output]:
    """Send rows to entries at once."""
    if not rows:
        return
    for entry in entries:
        yield out.SendPeer(entry, messages.News(rows))


def news(world: world_module.World, recipient: ids.EntryId) -> News:
    """Return the rows that ride on a message, those told least first.

    The sender's own row is always there, and the recipient's where the
    recipient has to contradict it.
    """
    rows = [queries.own_row(world)]
    theirs = world.members.get(recipient)
    if theirs is not None and theirs.health is not models.Health.ALIVE:
        rows.append(theirs)
    told = world.probes.news
    room = const.NEWS_MAX - len(rows)
    for entry in heapq.nsmallest(room, told, key=lambda x: told[x]):
        row = world.members.get(entry)
        told[entry] += 1
        if row is None or told[entry] >= _repeats(world):
            del told[entry]
        if row is not None and row not in rows:
            rows.append(row)
    return tuple(row for row in rows if row.incarnation)


def sync(
    world: world_module.World, peer: ids.EntryId | None
) -> abc.Iterator[out.Output]:
    """Ask a peer for the next page of the members."""
    if not world.probes.sync:
        row = models.SyncRow(world.node.domain, ids.EntryId(''), True)
        world.probes.sync.append(row)
    if peer is None:
        return
    [cursor] = world.probes.sync
    slow_round = world.probes.rounds[0] % const.ROUNDS_PER_SYNC == 0
    if cursor.joining or slow_round:
        ask = messages.MembersAsk(cursor.domain, cursor.after)
        yield out.SendPeer(peer, ask)


def page(
    world: world_module.World,
    sender: ids.EntryRef,
    ask: messages.MembersAsk,
) -> abc.Iterator[out.Output]:
    """Answer with one page of the members that were ever heard."""
    found = [
        row
        for row in world.members.values()
        if row.entry > ask.after
        and row.incarnation
        and ask.domain in ('', row.domain)
    ]
    rows = heapq.nsmallest(const.PAGE_ROWS, found, key=lambda x: x.entry)
    last = len(rows) == len(found)
    answer = messages.MembersPage(ask.domain, ask.after, last, tuple(rows))
    yield out.SendPeer(sender.entry, answer)


def turn_page(world: world_module.World, found: messages.MembersPage) -> None:
    """Move on to the next page, after own domain to all domains."""
    if not world.probes.sync:
        return
    [cursor] = world.probes.sync
    if (found.domain, found.after) != (cursor.domain, cursor.after):
        return
    first = ids.EntryId('')
    if not found.last and found.news:
        after = found.news[-1].entry
        world.probes.sync[0] = cursor._replace(after=after)
        return
    joining = cursor.joining and cursor.domain != ''
    world.probes.sync[0] = models.SyncRow('', first, joining)


def _repeats(world: world_module.World) -> int:
    return const.NEWS_REPEATS * math.ceil(math.log2(len(world.members) + 1))
