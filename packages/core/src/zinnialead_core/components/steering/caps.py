"""Keep the shifts into this domain under their caps.

Each slot owner holds a fixed part of every cap into its region, so that
the sum over all owners stays under the cap without an agreement.
"""

import collections
import typing

from zinnialead_core.components import members
from zinnialead_core.components.steering import const
from zinnialead_core.components.steering import dealing
from zinnialead_core.components.steering import models
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_core import world as world_module


class Shift(typing.NamedTuple):
    """Describe a piece of work that may be a shift into this domain."""

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    home_region: ids.RegionId
    body_bytes: int


def permit(
    world: world_module.World, now_ms: float, shift: Shift
) -> verdict.Refusal | None:
    """Let a shift into this domain, or say which cap refuses it.

    It is counted from now on: as waiting until ``start``, then for the
    length of the window.  Work whose home is this region is no shift.
    """
    link = models.LinkId(shift.home_region, world.node.region)
    if link.from_region == link.to_region:
        return None
    way = (shift.service, link)
    for name, cap in world.states['in-force'].caps.items():
        if not _concerns(cap, link):
            continue
        if _is_new_owner(world, now_ms, shift.service) or not _allows(
            world, now_ms, cap, way, shift
        ):
            world.counters['steering.cap_reached'] += 1
            return verdict.Refusal(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.CAP_REACHED,
                f'cap {name!r} lets no more work into domain'
                f' {world.node.domain!r} now',
            )
    size_bytes = shift.body_bytes + _answer_bytes(world, shift.service)
    waiting = world.shifts.waiting.setdefault(way, {})
    waiting[shift.ask_id] = size_bytes
    return None


def start(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    home_region: ids.RegionId,
    ask_id: ids.AskId,
) -> None:
    """Count a shift that was let in as sent now."""
    size_bytes = leave(world, service, home_region, ask_id)
    if size_bytes is None:
        return
    way = (service, models.LinkId(home_region, world.node.region))
    row = models.ShiftRow(now_ms, size_bytes)
    _recent(world, now_ms, way).append(row)


def leave(
    world: world_module.World,
    service: ids.ServiceId,
    home_region: ids.RegionId,
    ask_id: ids.AskId,
) -> float | None:
    """Forget a shift that waits, and return its size in bytes."""
    way = (service, models.LinkId(home_region, world.node.region))
    waiting = world.shifts.waiting.get(way)
    return waiting.pop(ask_id, None) if waiting else None


def learn_answer(
    world: world_module.World, service: ids.ServiceId, size_bytes: int
) -> None:
    """Take in the size of an answer of a service."""
    known = _answer_bytes(world, service)
    weight = const.ANSWER_BYTES_WEIGHT
    learnt = known + weight * (size_bytes - known)
    world.shifts.answer_bytes[service] = learnt


def shifted_per_s(
    world: world_module.World, now_ms: float, link: models.LinkId
) -> int:
    """Return the shifts of the last second that this entry let in."""
    since_ms = now_ms - const.MS_PER_S
    return sum(
        sum(row.at_ms > since_ms for row in sent)
        for (_, way), sent in world.shifts.sent.items()
        if way == link
    )


def share(
    world: world_module.World, service: ids.ServiceId, whole: float
) -> float:
    """Return this owner's part of a cap into its region.

    The whole units of a cap are dealt out over the services and domains
    of the region by what each can serve.  Where a domain falls apart
    into groups of entries, an owner in each group takes the part of its
    group.
    """
    state = world.states['in-force']
    mine = (world.node.domain, service)
    dealt = dealing.deal(state, world.node.region, int(whole)).get(mine, 0)
    return float(int(dealt * _group_part(world, state)))


def _concerns(cap: tickets.Cap, link: models.LinkId) -> bool:
    match cap:
        case tickets.ShiftCap(from_region, to_region, _):
            return models.LinkId(from_region, to_region) == link
        case tickets.LinkBudget(from_region, to_region, _):
            return models.LinkId(from_region, to_region) == link
        case tickets.RegionLimit():
            return False


def _allows(
    world: world_module.World,
    now_ms: float,
    cap: tickets.Cap,
    way: models.Way,
    shift: Shift,
) -> bool:
    sent = _recent(world, now_ms, way)
    waiting = world.shifts.waiting.get(way, {})
    part = _rank_part(world, shift.rank)
    match cap:
        case tickets.ShiftCap(_, _, requests_per_s):
            room = share(world, shift.service, requests_per_s)
            return len(sent) + len(waiting) + 1 <= room * part
        case tickets.LinkBudget(_, _, bytes_per_s):
            room = share(world, shift.service, bytes_per_s)
            used = sum(row.size_bytes for row in sent)
            used += sum(waiting.values()) + shift.body_bytes
            used += _answer_bytes(world, shift.service)
            return used <= room * part
        case tickets.RegionLimit():
            return True


def _is_new_owner(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> bool:
    # The owner before may have let in shifts that are not known here.
    load = world.queues.service_loads.get(service)
    if load is None or load.owned_since_ms is None:
        return False
    return now_ms < load.owned_since_ms + const.SHIFT_HOLD_MS


def _recent(
    world: world_module.World, now_ms: float, way: models.Way
) -> collections.deque[models.ShiftRow]:
    sent = world.shifts.sent.setdefault(way, collections.deque())
    while sent and sent[0].at_ms <= now_ms - const.SHIFT_WINDOW_MS:
        sent.popleft()
    return sent


def _rank_part(world: world_module.World, rank: ids.RankId) -> float:
    ranks = world.states['in-force'].ranks
    row = ranks.get(rank)
    first = min((x.order for x in ranks.values()), default=0)
    if row is None or row.order > first:
        return const.OTHER_RANKS_SHARE
    return 1.0


def _group_part(world: world_module.World, state: tickets.State) -> float:
    row = state.domains.get(world.node.domain)
    if row is None:
        return 0.0
    here = [
        member
        for member in world.members.values()
        if member.domain == row.domain
        and member.health is not members.Health.DEAD
    ]
    return min(1.0, len(here) / row.entries_max)


def _answer_bytes(world: world_module.World, service: ids.ServiceId) -> float:
    return world.shifts.answer_bytes.get(service, const.ANSWER_BYTES_FIRST)
