"""Build the fleet view of one entry."""

from collections import abc

import zinnialead_core as core
from zinnialead_core.components import steering
from zinnialead_core.components.steering import caps
from zinnialead_core.components import tickets
from zinnialead_core.components.upstreams import capacity
from zinnialead_core.notices import pauses
from zinnialead_daemon.components.operators import const
from zinnialead_daemon.components.operators import models


def fleet(world: core.World, now_ms: float) -> models.Fleet:
    """Return members, upstreams, queues, drains, shifts and refusals."""
    node = world.node
    return models.Fleet(
        entry=node.ref.entry,
        domain=node.domain,
        region=node.region,
        incarnation=node.ref.incarnation,
        state_number=world.states['in-force'].number,
        members=list(_members(world, now_ms)),
        upstreams=list(_upstreams(world, now_ms)),
        queues=list(_queues(world)),
        drains=list(_drains(world)),
        shifts=list(_shifts(world, now_ms)),
        refusals={
            name.removeprefix(const.REFUSALS_PREFIX): count
            for name, count in sorted(world.counters.items())
            if name.startswith(const.REFUSALS_PREFIX)
        },
    )


def _members(
    world: core.World, now_ms: float
) -> abc.Iterator[models.MemberView]:
    own_entry = world.node.ref.entry
    for row in sorted(world.members.values()):
        state_number = row.state_number
        if row.entry == own_entry:
            state_number = world.states['in-force'].number
        yield models.MemberView(
            entry=row.entry,
            domain=row.domain,
            address=row.address,
            callers_address=row.callers_address,
            health=row.health.value,
            incarnation=row.incarnation,
            state_number=state_number,
            heard_ago_ms=max(0.0, now_ms - row.heard_ms),
        )


def _upstreams(
    world: core.World, now_ms: float
) -> abc.Iterator[models.UpstreamView]:
    state = world.states['in-force']
    for row in sorted(state.upstreams.values()):
        reported = world.upstreams.get(row.upstream)
        yield models.UpstreamView(
            upstream=row.upstream,
            service=row.service,
            domain=row.domain,
            slots=row.slots,
            in_use=world.queues.in_use.get(row.upstream),
            healthy=reported.healthy if reported else None,
            leaving=capacity.is_leaving(reported),
            paused_for_ms=pauses.left_ms(world.pauses, now_ms, row.upstream)
            or None,
            draining=tickets.is_drained(state, row),
        )


def _queues(world: core.World) -> abc.Iterator[models.QueueView]:
    for service, by_rank in sorted(world.queues.rank_queues.items()):
        for rank, queue in sorted(by_rank.items()):
            yield models.QueueView(
                service=service, rank=rank, queued=len(queue)
            )


def _drains(world: core.World) -> abc.Iterator[models.DrainView]:
    state = world.states['in-force']
    for name, drain in sorted(state.drains.items()):
        in_flight = sum(
            world.queues.in_use.get(row.upstream, 0)
            for row in state.upstreams.values()
            if tickets.covers(state, drain, row)
        )
        match drain:
            case tickets.UpstreamDrain(upstream):
                kind, target = 'upstream', str(upstream)
            case tickets.DomainDrain(domain):
                kind, target = 'domain', str(domain)
            case tickets.RegionDrain(region):
                kind, target = 'region', str(region)
        yield models.DrainView(
            name=name, kind=kind, target=target, in_flight=in_flight
        )


def _shifts(
    world: core.World, now_ms: float
) -> abc.Iterator[models.ShiftView]:
    for name, shift_cap in sorted(world.states['in-force'].caps.items()):
        match shift_cap:
            case tickets.ShiftCap(origin, target, requests_per_s):
                link_id = steering.LinkId(origin, target)
                yield models.ShiftView(
                    name=name,
                    from_region=origin,
                    to_region=target,
                    cap_per_s=requests_per_s,
                    shifted_per_s=float(
                        caps.shifted_per_s(world, now_ms, link_id)
                    ),
                )
