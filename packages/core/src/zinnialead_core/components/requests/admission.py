"""Check a request at the door."""

from zinnialead_core.components.requests import const
from zinnialead_core.components.requests import models
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def admit(
    world: world_module.World, now_ms: float, item: inp.RequestArrived
) -> models.RequestRow | verdict.Refusal:
    """Return the row of a request, or why it is refused.

    An entry that refuses before it asks for the key does not know what
    became of other copies of the request.
    """
    decision = _decide(world, now_ms, item)
    match decision:
        case verdict.Refusal() if _may_have_copies(world, item):
            return decision._replace(verdict=verdict.Verdict.MAY_HAVE_RUN)
        case _:
            return decision


def _may_have_copies(
    world: world_module.World, item: inp.RequestArrived
) -> bool:
    service = world.states['in-force'].services.get(item.service)
    idempotent = service is not None and service.idempotent
    return item.key is not None and not idempotent


def _decide(
    world: world_module.World, now_ms: float, item: inp.RequestArrived
) -> models.RequestRow | verdict.Refusal:
    state = world.states['in-force']
    service = state.services.get(item.service)
    if world.requests.stopping:
        return _refusal(verdict.Reason.STOPPING, 'this entry is stopping')
    if len(world.requests.rows) >= const.ROWS_MAX:
        return _refusal(verdict.Reason.QUEUE_FULL, 'this entry is full')
    if state.number == 0:
        return _refusal(verdict.Reason.NOT_READY, 'no ticket is in force')
    if service is None:
        detail = f'service {item.service!r} is not in force'
        return _refusal(verdict.Reason.UNKNOWN_SERVICE, detail)
    rank = item.rank or service.default_rank
    if rank not in state.ranks:
        detail = f'rank {rank!r} is not in force'
        return _refusal(verdict.Reason.UNKNOWN_RANK, detail)
    if not service.idempotent and item.key is None:
        detail = f'service {item.service!r} needs an Idempotency-Key'
        return _refusal(verdict.Reason.KEY_MISSING, detail)
    if item.deadline_ms <= now_ms:
        detail = 'the deadline has passed'
        return _refusal(verdict.Reason.DEADLINE_PASSED, detail)
    return _row(world, now_ms, item, service, rank)


def _row(
    world: world_module.World,
    now_ms: float,
    item: inp.RequestArrived,
    service: tickets.ServiceRow,
    rank: ids.RankId,
) -> models.RequestRow:
    latest_ms = now_ms + service.deadline_max_ms
    return models.RequestRow(
        request_id=item.request_id,
        service=service.service,
        rank=rank,
        arrived_ms=now_ms,
        deadline_ms=min(item.deadline_ms, latest_ms),
        idempotent=service.idempotent,
        keyed=item.key is not None and not service.idempotent,
        replayable=item.replayable,
        body_bytes=item.body_bytes,
        phase=models.Phase.CLAIM,
        attempt=0,
        upstream=None,
        caller_gone=False,
        worst=verdict.Verdict.NOT_RUN,
        home_region=_home_region(world, item.caller_domain),
    )


def _home_region(
    world: world_module.World, caller_domain: ids.DomainId | None
) -> ids.RegionId:
    domains = world.states['in-force'].domains
    if caller_domain is None or caller_domain not in domains:
        return world.node.region
    return domains[caller_domain].region


def _refusal(reason: verdict.Reason, detail: str) -> verdict.Refusal:
    return verdict.Refusal(verdict.Verdict.NOT_RUN, reason, detail)
