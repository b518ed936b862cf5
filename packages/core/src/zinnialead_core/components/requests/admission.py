"""Admit or refuse requests on arrival."""

from zinnialead_core.components.requests import const
from zinnialead_core.components.requests import models
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def admit(
    world: world_module.World, now_ms: float, arrival: inp.RequestArrived
) -> models.RequestRow | verdict.Refusal:
    """Return the row of an admitted request, or its refusal.

    A request with a key is refused here before its key is claimed, so it
    is not known whether another copy of the request has run.
    """
    decision = _decide(world, now_ms, arrival)
    match decision:
        case verdict.Refusal():
            unchecked = unchecked_verdict(world, arrival.service, arrival.key)
            return decision._replace(verdict=unchecked)
        case _:
            return decision


def unchecked_verdict(
    world: world_module.World, service: ids.ServiceId, key: ids.Key | None
) -> verdict.Verdict:
    """Return the verdict of a refusal before a request's key is claimed."""
    row = world.states['in-force'].services.get(service)
    if key is None or (row is not None and row.idempotent):
        return verdict.Verdict.NOT_RUN
    return verdict.Verdict.MAY_HAVE_RUN


def _decide(
    world: world_module.World, now_ms: float, arrival: inp.RequestArrived
) -> models.RequestRow | verdict.Refusal:
    state = world.states['in-force']
    service = state.services.get(arrival.service)
    if world.requests.stopping:
        return _not_run_refusal(
            verdict.Reason.STOPPING, 'this entry is stopping'
        )
    if len(world.requests.rows) >= const.REQUESTS_MAX:
        return _not_run_refusal(
            verdict.Reason.QUEUE_FULL, 'this entry is full'
        )
    if state.number == 0:
        return _not_run_refusal(
            verdict.Reason.NOT_READY, 'no ticket is in force'
        )
    if service is None:
        detail = f'service {arrival.service!r} is not in force'
        return _not_run_refusal(verdict.Reason.UNKNOWN_SERVICE, detail)
    rank = arrival.rank or service.default_rank
    if rank not in state.ranks:
        detail = f'rank {rank!r} is not in force'
        return _not_run_refusal(verdict.Reason.UNKNOWN_RANK, detail)
    if not service.idempotent and arrival.key is None:
        detail = f'service {arrival.service!r} needs an Idempotency-Key'
        return _not_run_refusal(verdict.Reason.KEY_MISSING, detail)
    if arrival.deadline_ms <= now_ms:
        detail = 'the deadline has passed'
        return _not_run_refusal(verdict.Reason.DEADLINE_PASSED, detail)
    return _row(world, now_ms, arrival, service, rank)


def _row(
    world: world_module.World,
    now_ms: float,
    arrival: inp.RequestArrived,
    service: tickets.ServiceRow,
    rank: ids.RankId,
) -> models.RequestRow:
    max_deadline_ms = now_ms + service.deadline_max_ms
    return models.RequestRow(
        request_id=arrival.request_id,
        service=service.service,
        rank=rank,
        arrived_ms=now_ms,
        deadline_ms=min(arrival.deadline_ms, max_deadline_ms),
        idempotent=service.idempotent,
        keyed=arrival.key is not None and not service.idempotent,
        replayable=arrival.replayable,
        body_bytes=arrival.body_bytes,
        phase=models.Phase.CLAIM,
        attempt=0,
        upstream=None,
        caller_gone=False,
        worst_verdict=verdict.Verdict.NOT_RUN,
        home_region=_home_region(world, arrival.caller_domain),
    )


def _home_region(
    world: world_module.World, caller_domain: ids.DomainId | None
) -> ids.RegionId:
    domains = world.states['in-force'].domains
    if caller_domain is None or caller_domain not in domains:
        return world.node.region
    return domains[caller_domain].region


def _not_run_refusal(reason: verdict.Reason, detail: str) -> verdict.Refusal:
    return verdict.Refusal(verdict.Verdict.NOT_RUN, reason, detail)
