"""Choose another domain for an ask that would wait too long here."""

from collections import abc
import math
import typing

from zinnialead_core.components.steering import const
from zinnialead_core.components.steering import models
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import world as world_module


class Candidate(typing.NamedTuple):
    """Name a domain that may take an ask, and what asking it costs."""

    domain: ids.DomainId
    cost_ms: float


def choose(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    wait_ms: float,
    left_ms: float,
    tried: abc.Collection[ids.DomainId],
) -> ids.DomainId | None:
    """Return the domain to ask in place of waiting ``wait_ms`` here.

    Domains of this region go first.  A report is trusted for the number
    of asks that it leaves room for, and no longer than a few seconds;
    the domain's own slot owner decides in the end.
    """
    if wait_ms <= const.SIBLING_COST_MS:
        return None
    homeless = math.isinf(wait_ms)
    tried_max = const.DOMAINS_TRIED_MAX
    if homeless:
        tried_max = const.DOMAINS_TRIED_HOMELESS_MAX
    if len(tried) >= tried_max:
        return None
    worth = [
        candidate.domain
        for candidate in _candidates(world, service)
        if candidate.domain not in tried
        and candidate.cost_ms < min(wait_ms, left_ms)
    ]
    for domain in worth:
        if _take_room(world, now_ms, service, domain):
            world.counters['steering.redirected'] += 1
            return domain
    if not homeless or not worth:
        return None
    # Work without an upstream here may wait in another domain's queue.
    world.counters['steering.homeless'] += 1
    return min(worth, key=lambda domain: _busy(world, service, domain))


def refused(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    domain: ids.DomainId,
) -> None:
    """Leave a domain alone for a moment that refused an ask."""
    room = world.shifts.rooms.get((service, domain))
    paused_until_ms = now_ms + const.REFUSED_PAUSE_MS
    left = room.left if room else 0.0
    row = models.RoomRow(left, paused_until_ms)
    world.shifts.rooms[service, domain] = row


def take_in(
    world: world_module.World, now_ms: float, row: models.LoadRow
) -> None:
    """Take in a load report, and the room that it leaves."""
    if row.domain == world.node.domain:
        return
    world.loads[row.service, row.domain] = row._replace(seen_ms=now_ms)
    free = max(0, row.slots - row.in_use - row.queued)
    served = const.LOAD_PERIOD_MS / max(1.0, row.service_time_ms)
    # Free slots are used over and over until the next report.
    left = free * max(1.0, served)
    known = world.shifts.rooms.get((row.service, row.domain))
    paused_until_ms = known.paused_until_ms if known else -math.inf
    room = models.RoomRow(left, paused_until_ms)
    world.shifts.rooms[row.service, row.domain] = room


def _take_room(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    domain: ids.DomainId,
) -> bool:
    room = world.shifts.rooms.get((service, domain))
    if room is not None and now_ms < room.paused_until_ms:
        return False
    load = world.loads.get((service, domain))
    fresh = load is not None and now_ms - load.seen_ms <= const.LOAD_STALE_MS
    if not fresh or room is None:
        trial = models.RoomRow(0.0, now_ms + const.TRIAL_PERIOD_MS)
        world.shifts.rooms[service, domain] = trial
        return True
    if room.left < 1.0:
        return False
    world.shifts.rooms[service, domain] = room._replace(left=room.left - 1.0)
    return True


def _busy(
    world: world_module.World, service: ids.ServiceId, domain: ids.DomainId
) -> float:
    load = world.loads.get((service, domain))
    if load is None or load.slots == 0:
        return math.inf
    return (load.in_use + load.queued) / load.slots


def _candidates(
    world: world_module.World, service: ids.ServiceId
) -> abc.Iterator[Candidate]:
    row = _neighbours(world, service)
    for domain in row.siblings:
        yield Candidate(domain, const.SIBLING_COST_MS)
    others = list(row.others)
    world.random.shuffle(others)
    for domain in others:
        yield Candidate(domain, const.REGION_COST_MS)


def _neighbours(
    world: world_module.World, service: ids.ServiceId
) -> models.NeighbourRow:
    state = world.states['in-force']
    known = world.shifts.neighbours.get(service)
    if known is not None and known.number == state.number:
        return known
    found = {
        row.domain: state.domains[row.domain].region
        for row in state.upstreams.values()
        if row.service == service
        and row.domain in state.domains
        and row.domain != world.node.domain
        and not tickets.is_drained(state, row)
    }
    here = world.node.region
    made = models.NeighbourRow(
        state.number,
        tuple(sorted(x for x, region in found.items() if region == here)),
        tuple(sorted(x for x, region in found.items() if region != here)),
    )
    world.shifts.neighbours[service] = made
    return made
