"""Keep shifts, which are work from other regions, under their caps.

Each slot owner has a fixed share of every cap into its region, so the
sum over all owners stays under the cap without coordination.
"""

import collections
import typing

from zinnialead_core.components import members
from zinnialead_core.components.steering import apportionment
from zinnialead_core.components.steering import const
from zinnialead_core.components.steering import models
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_core import world as world_module


class Shift(typing.NamedTuple):
    """Describe work that may be a shift into this domain."""

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    home_region: ids.RegionId
    body_bytes: int


def admit(
    world: world_module.World, now_ms: float, shift: Shift
) -> verdict.Refusal | None:
    """Admit a shift into this domain, or return the cap's refusal.

    An admitted shift counts as waiting until ``record_sent``, and then
    for the length of the window.  Work of this region is not a shift.
    """
    link = models.LinkId(shift.home_region, world.node.region)
    if link.from_region == link.to_region:
        return None
    service_link = (shift.service, link)
    for name, cap in world.states['in-force'].caps.items():
        if not _applies_to(cap, link):
            continue
        if _is_new_owner(world, now_ms, shift.service) or not _allows(
            world, now_ms, cap, service_link, shift
        ):
            world.counters['steering.cap_reached'] += 1
            return verdict.Refusal(
                verdict.Verdict.NOT_RUN,
                verdict.Reason.CAP_REACHED,
                f'cap {name!r} lets no more work into domain'
                f' {world.node.domain!r} now',
            )
    size_bytes = shift.body_bytes + _answer_bytes(world, shift.service)
    waiting = world.shifts.waiting.setdefault(service_link, {})
    waiting[shift.ask_id] = size_bytes
    return None


def record_sent(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    home_region: ids.RegionId,
    ask_id: ids.AskId,
) -> None:
    """Count an admitted shift as sent now."""
    size_bytes = remove_waiting(world, service, home_region, ask_id)
    if size_bytes is None:
        return
    service_link = (service, models.LinkId(home_region, world.node.region))
    row = models.ShiftRow(now_ms, size_bytes)
    _sent_in_window(world, now_ms, service_link).append(row)


def remove_waiting(
    world: world_module.World,
    service: ids.ServiceId,
    home_region: ids.RegionId,
    ask_id: ids.AskId,
) -> float | None:
    """Remove a waiting shift and return its size in bytes."""
    service_link = (service, models.LinkId(home_region, world.node.region))
    waiting = world.shifts.waiting.get(service_link)
    return waiting.pop(ask_id, None) if waiting else None


def record_answer_size(
    world: world_module.World, service: ids.ServiceId, size_bytes: int
) -> None:
    """Add an answer's size to the moving average of its service."""
    mean_bytes = _answer_bytes(world, service)
    weight = const.ANSWER_BYTES_WEIGHT
    updated_bytes = mean_bytes + weight * (size_bytes - mean_bytes)
    world.shifts.answer_bytes[service] = updated_bytes


def shifted_per_s(
    world: world_module.World, now_ms: float, link: models.LinkId
) -> int:
    """Return this owner's number of shifts on a link in the last second."""
    since_ms = now_ms - const.MS_PER_S
    return sum(
        sum(row.sent_ms > since_ms for row in sent)
        for (_, sent_link), sent in world.shifts.sent.items()
        if sent_link == link
    )


def owner_share(
    world: world_module.World, service: ids.ServiceId, cap_value: float
) -> float:
    """Return this owner's share of a cap into its region.

    A cap is apportioned in whole units to the services and domains of the
    region by what each can serve.  If a domain is partitioned into groups
    of entries, the owner in each group gets the share of its group.
    """
    state = world.states['in-force']
    own_key = (world.node.domain, service)
    share = apportionment.apportion(
        state, world.node.region, int(cap_value)
    ).get(own_key, 0)
    return float(int(share * _group_share(world, state)))


def _applies_to(cap: tickets.Cap, link: models.LinkId) -> bool:
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
    service_link: models.ServiceLink,
    shift: Shift,
) -> bool:
    sent = _sent_in_window(world, now_ms, service_link)
    waiting = world.shifts.waiting.get(service_link, {})
    rank_share = _rank_share(world, shift.rank)
    match cap:
        case tickets.ShiftCap(_, _, requests_per_s):
            allowance = owner_share(world, shift.service, requests_per_s)
            return len(sent) + len(waiting) + 1 <= allowance * rank_share
        case tickets.LinkBudget(_, _, bytes_per_s):
            allowance = owner_share(world, shift.service, bytes_per_s)
            used_bytes = sum(row.size_bytes for row in sent)
            used_bytes += sum(waiting.values()) + shift.body_bytes
            used_bytes += _answer_bytes(world, shift.service)
            return used_bytes <= allowance * rank_share
        case tickets.RegionLimit():
            return True


def _is_new_owner(
    world: world_module.World, now_ms: float, service: ids.ServiceId
) -> bool:
    # The previous owner may have admitted shifts not known here.
    load = world.queues.service_loads.get(service)
    if load is None or load.owned_since_ms is None:
        return False
    return now_ms < load.owned_since_ms + const.NEW_OWNER_PAUSE_MS


def _sent_in_window(
    world: world_module.World, now_ms: float, service_link: models.ServiceLink
) -> collections.deque[models.ShiftRow]:
    sent = world.shifts.sent.setdefault(service_link, collections.deque())
    while sent and sent[0].sent_ms <= now_ms - const.SHIFT_WINDOW_MS:
        sent.popleft()
    return sent


def _rank_share(world: world_module.World, rank: ids.RankId) -> float:
    ranks = world.states['in-force'].ranks
    row = ranks.get(rank)
    first_order = min(
        (rank_row.order for rank_row in ranks.values()), default=0
    )
    if row is None or row.order > first_order:
        return const.OTHER_RANKS_SHARE
    return 1.0


def _group_share(world: world_module.World, state: tickets.State) -> float:
    row = state.domains.get(world.node.domain)
    if row is None:
        return 0.0
    domain_entries = [
        member
        for member in world.members.values()
        if member.domain == row.domain
        and member.health is not members.Health.DEAD
    ]
    return min(1.0, len(domain_entries) / row.entries_max)


def _answer_bytes(world: world_module.World, service: ids.ServiceId) -> float:
    return world.shifts.answer_bytes.get(service, const.ANSWER_BYTES_DEFAULT)
