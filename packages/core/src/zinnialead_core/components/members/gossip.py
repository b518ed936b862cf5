"""Spread changed member rows, with a bounded cost per message."""

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

Rows = tuple[models.MemberRow, ...]


def queue_news(
    world: world_module.World, now_ms: float, entry: ids.EntryId
) -> None:
    """Queue an entry's row to be pushed soon and piggybacked on probes."""
    world.probes.news_send_counts[entry] = 0
    world.probes.urgent_news[entry] = None
    if timers.GossipDue() not in world.timers.due_ms:
        due_ms = now_ms + const.URGENT_PERIOD_MS * world.random.random()
        timers.start(world.timers, timers.GossipDue(), due_ms)


def push_urgent(
    world: world_module.World, now_ms: float
) -> abc.Iterator[out.Output]:
    """Push urgent rows to a few peers, which push them further."""
    urgent = world.probes.urgent_news
    entries = list(urgent)[: const.URGENT_ROWS_MAX]
    for entry in entries:
        del urgent[entry]
    yield from send_news(
        world,
        [
            *queries.sample_entries(
                world, queries.domain_peers(world), const.URGENT_FANOUT
            ),
            *queries.sample_entries(
                world,
                queries.other_domain_peers(world),
                const.URGENT_OTHER_DOMAIN_FANOUT,
            ),
        ],
        tuple(world.members[x] for x in entries if x in world.members),
    )
    if urgent:
        due_ms = now_ms + const.URGENT_PERIOD_MS
        timers.start(world.timers, timers.GossipDue(), due_ms)


def send_news(
    world: world_module.World, entries: abc.Iterable[ids.EntryId], rows: Rows
) -> abc.Iterator[out.Output]:
    """Send rows to entries without waiting for the next probe."""
    if not rows:
        return
    for entry in entries:
        yield out.SendPeer(entry, messages.News(rows))


def piggybacked_rows(
    world: world_module.World, recipient: ids.EntryId
) -> Rows:
    """Return the rows to attach to a message, the least sent first.

    The sender's own row is always included, and the recipient's if the
    recipient has to refute it.
    """
    rows = [queries.own_row(world)]
    peer_row = world.members.get(recipient)
    if peer_row is not None and peer_row.health is not models.Health.ALIVE:
        rows.append(peer_row)
    counts = world.probes.news_send_counts
    limit = const.NEWS_ROWS_MAX - len(rows)
    for entry in heapq.nsmallest(limit, counts, key=lambda x: counts[x]):
        row = world.members.get(entry)
        counts[entry] += 1
        if row is None or counts[entry] >= _send_limit(world):
            del counts[entry]
        if row is not None and row not in rows:
            rows.append(row)
    return tuple(row for row in rows if row.incarnation)


def request_page(
    world: world_module.World, peer: ids.EntryId | None
) -> abc.Iterator[out.Output]:
    """Ask a peer for the next page of its members table if one is due."""
    if not world.probes.sync_cursor:
        row = models.SyncRow(world.node.domain, ids.EntryId(''), True)
        world.probes.sync_cursor.append(row)
    if peer is None:
        return
    [cursor] = world.probes.sync_cursor
    sync_due = world.probes.round_count[0] % const.ROUNDS_PER_SYNC == 0
    if cursor.joining or sync_due:
        ask = messages.MembersAsk(cursor.domain, cursor.after)
        yield out.SendPeer(peer, ask)


def send_page(
    world: world_module.World,
    sender: ids.EntryRef,
    ask: messages.MembersAsk,
) -> abc.Iterator[out.Output]:
    """Send one page of the members whose incarnation is known."""
    matching = [
        row
        for row in world.members.values()
        if row.entry > ask.after
        and row.incarnation
        and ask.domain in ('', row.domain)
    ]
    rows = heapq.nsmallest(
        const.PAGE_ROWS_MAX, matching, key=lambda x: x.entry
    )
    last = len(rows) == len(matching)
    answer = messages.MembersPage(ask.domain, ask.after, last, tuple(rows))
    yield out.SendPeer(sender.entry, answer)


def advance_cursor(
    world: world_module.World, reply: messages.MembersPage
) -> None:
    """Move to the next page; after the own domain, to all domains."""
    if not world.probes.sync_cursor:
        return
    [cursor] = world.probes.sync_cursor
    if (reply.domain, reply.after) != (cursor.domain, cursor.after):
        return
    first = ids.EntryId('')
    if not reply.last and reply.news:
        after = reply.news[-1].entry
        world.probes.sync_cursor[0] = cursor._replace(after=after)
        return
    joining = cursor.joining and cursor.domain != ''
    world.probes.sync_cursor[0] = models.SyncRow('', first, joining)


def _send_limit(world: world_module.World) -> int:
    return const.NEWS_REPEATS * math.ceil(math.log2(len(world.members) + 1))
