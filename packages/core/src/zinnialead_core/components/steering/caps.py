"""Keep the shifts into this domain under their caps.

Each slot owner holds a fixed part of every cap into its region, so that
the sum over all owners stays under the cap without an agreement.
"""

import collections

from zinnialead_core.components import members
from zinnialead_core.components.steering import const
from zinnialead_core.components.steering import models
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def permit(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    rank: ids.RankId,
    home_region: ids.RegionId,
    body_bytes: int,
) -> verdict.Refusal | None:
    """Count a shift into this domain, or say which cap refuses it.

    Work whose home is this region is no shift.
    """
    link = models.LinkId(home_region, world.node.region)
    if link.from_region == link.to_region:
        return None
    row = models.ShiftRow(now_ms, body_bytes + _answer_bytes(world, service))
    sent = _recent(world, now_ms, service, link)
    for name, cap in world.states['in-force'].caps.items():
        if not _allows(world, service, rank, cap, link, sent, row):
            world.counters['steering.cap_reached'] += 1
            return verdict.Refusal(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.CAP_REACHED,
                f'cap {name!r} lets no more work into domain'
                f' {world.node.domain!r} now',
            )
    sent.append(row)
    return None


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
    of the region.  Where a domain falls apart into groups of entries, an
    owner in each group takes the part of its group.
    """
    state = world.states['in-force']
    holders = sorted(
        {
            (row.domain, row.service)
            for row in state.upstreams.values()
            if _region(state, row.domain) == world.node.region
        }
    )
    mine = (world.node.domain, service)
    if mine not in holders:
        return 0.0
    units, rest = divmod(int(whole), len(holders))
    dealt = units + (holders.index(mine) < rest)
    return float(int(dealt * _group_part(world, state)))


def _allows(
    world: world_module.World,
    service: ids.ServiceId,
    rank: ids.RankId,
    cap: tickets.Cap,
    link: models.LinkId,
    sent: collections.deque[models.ShiftRow],
    row: models.ShiftRow,
) -> bool:
    match cap:
        case tickets.ShiftCap(from_region, to_region, requests_per_s):
            if models.LinkId(from_region, to_region) != link:
                return True
            room = share(world, service, requests_per_s)
            return len(sent) + 1 <= room * _rank_part(world, rank)
        case tickets.LinkBudget(from_region, to_region, bytes_per_s):
            if models.LinkId(from_region, to_region) != link:
                return True
            room = share(world, service, bytes_per_s)
            used = sum(known.size_bytes for known in sent) + row.size_bytes
            return used <= room * _rank_part(world, rank)
        case tickets.RegionLimit():
            return True


def _recent(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    link: models.LinkId,
) -> collections.deque[models.ShiftRow]:
    sent = world.shifts.sent.setdefault((service, link), collections.deque())
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


def _region(state: tickets.State, domain: ids.DomainId) -> ids.RegionId | None:
    row = state.domains.get(domain)
    return row.region if row else None


def _answer_bytes(world: world_module.World, service: ids.ServiceId) -> float:
    return world.shifts.answer_bytes.get(service, const.ANSWER_BYTES_FIRST)
