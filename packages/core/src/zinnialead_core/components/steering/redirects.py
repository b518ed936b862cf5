"""Redirect asks that would wait too long here to another domain."""

from collections import abc
import math
import typing

from zinnialead_core.components.steering import const
from zinnialead_core.components.steering import models
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import world as world_module


class Candidate(typing.NamedTuple):
    """Hold a domain that may serve an ask, and the cost of asking it."""

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
    """Return the domain to ask instead of waiting ``wait_ms`` here.

    Domains of this region are preferred.  A load report allows a limited
    number of asks and expires after a few seconds; the final decision is
    up to the slot owner of the selected domain.
    """
    if wait_ms <= const.SIBLING_COST_MS:
        return None
    no_local_upstream = math.isinf(wait_ms)
    tried_max = const.DOMAINS_TRIED_MAX
    if no_local_upstream:
        tried_max = const.DOMAINS_TRIED_NO_UPSTREAM_MAX
    if len(tried) >= tried_max:
        return None
    worthwhile = [
        candidate.domain
        for candidate in _candidates(world, service)
        if candidate.domain not in tried
        and candidate.cost_ms < min(wait_ms, left_ms)
    ]
    for domain in worthwhile:
        if _reserve_headroom(world, now_ms, service, domain):
            world.counters['steering.redirected'] += 1
            return domain
    if not no_local_upstream or not worthwhile:
        return None
    # Work without an upstream here may be queued in another domain.
    world.counters['steering.homeless'] += 1
    return min(
        worthwhile, key=lambda domain: _utilization(world, service, domain)
    )


def pause_domain(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    domain: ids.DomainId,
) -> None:
    """Pause redirects to a domain that refused an ask."""
    headroom = world.shifts.headrooms.get((service, domain))
    paused_until_ms = now_ms + const.REFUSED_PAUSE_MS
    asks_left = headroom.asks_left if headroom else 0.0
    row = models.HeadroomRow(asks_left, paused_until_ms)
    world.shifts.headrooms[service, domain] = row


def apply_load(
    world: world_module.World, now_ms: float, row: models.LoadRow
) -> None:
    """Apply a load report and compute how many asks it allows."""
    if row.domain == world.node.domain:
        return
    world.loads[row.service, row.domain] = row._replace(seen_ms=now_ms)
    free_slots = max(0, row.slots - row.in_use - row.queued)
    uses_per_slot = const.LOAD_PERIOD_MS / max(1.0, row.service_time_ms)
    # Each free slot is used several times until the next report.
    asks_left = free_slots * max(1.0, uses_per_slot)
    previous = world.shifts.headrooms.get((row.service, row.domain))
    paused_until_ms = previous.paused_until_ms if previous else -math.inf
    headroom = models.HeadroomRow(asks_left, paused_until_ms)
    world.shifts.headrooms[row.service, row.domain] = headroom


def _reserve_headroom(
    world: world_module.World,
    now_ms: float,
    service: ids.ServiceId,
    domain: ids.DomainId,
) -> bool:
    headroom = world.shifts.headrooms.get((service, domain))
    if headroom is not None and now_ms < headroom.paused_until_ms:
        return False
    load = world.loads.get((service, domain))
    is_fresh = (
        load is not None and now_ms - load.seen_ms <= const.LOAD_STALE_MS
    )
    if not is_fresh or headroom is None:
        probe = models.HeadroomRow(0.0, now_ms + const.STALE_ASK_PERIOD_MS)
        world.shifts.headrooms[service, domain] = probe
        return True
    if headroom.asks_left < 1.0:
        return False
    world.shifts.headrooms[service, domain] = headroom._replace(
        asks_left=headroom.asks_left - 1.0
    )
    return True


def _utilization(
    world: world_module.World, service: ids.ServiceId, domain: ids.DomainId
) -> float:
    load = world.loads.get((service, domain))
    if load is None or load.slots == 0:
        return math.inf
    return (load.in_use + load.queued) / load.slots


def _candidates(
    world: world_module.World, service: ids.ServiceId
) -> abc.Iterator[Candidate]:
    row = _serving_domains(world, service)
    for domain in row.same_region:
        yield Candidate(domain, const.SIBLING_COST_MS)
    other_regions = list(row.other_regions)
    world.random.shuffle(other_regions)
    for domain in other_regions:
        yield Candidate(domain, const.REGION_COST_MS)


def _serving_domains(
    world: world_module.World, service: ids.ServiceId
) -> models.ServingDomainsRow:
    state = world.states['in-force']
    cached = world.shifts.serving_domains.get(service)
    if cached is not None and cached.state_number == state.number:
        return cached
    regions = {
        upstream.domain: state.domains[upstream.domain].region
        for upstream in state.upstreams.values()
        if upstream.service == service
        and upstream.domain in state.domains
        and upstream.domain != world.node.domain
        and not tickets.is_drained(state, upstream)
    }
    own_region = world.node.region
    row = models.ServingDomainsRow(
        state.number,
        tuple(
            sorted(
                domain
                for domain, region in regions.items()
                if region == own_region
            )
        ),
        tuple(
            sorted(
                domain
                for domain, region in regions.items()
                if region != own_region
            )
        ),
    )
    world.shifts.serving_domains[service] = row
    return row
