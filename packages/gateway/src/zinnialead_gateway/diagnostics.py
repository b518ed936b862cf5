"""Build the state dump of a process."""

from collections import abc
import typing

from zinnialead_core import gateway
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.requests import models as requests
from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.notices import pauses


class RequestDump(typing.TypedDict):
    """Hold the state of a request."""

    name: str
    route: str
    phase: str
    upstream: str | None
    attempt: int


class ExclusionDump(typing.TypedDict):
    """Hold why an upstream gets no requests, and for how many ms, if known."""

    reason: str
    for_ms: float | None


class Dump(typing.TypedDict):
    """Hold the state of a process."""

    entry: str
    incarnation: int
    version: int
    upstreams: list[dict[str, typing.Any]]
    drained: list[str]
    excluded: dict[str, ExclusionDump]
    loads: dict[str, dict[str, typing.Any]]
    abroad: dict[str, float]
    requests: list[RequestDump]
    entries: list[dict[str, typing.Any]]
    store: dict[str, typing.Any]
    counters: dict[str, int]


def dump(world: gateway.World, now_ms: float) -> Dump:
    """Return the state dump of a process; ``now_ms`` is its own clock."""
    configuration = routes.active_configuration(world)
    return Dump(
        entry=world.node.ref.entry,
        incarnation=world.node.ref.incarnation,
        version=configuration.version if configuration else 0,
        upstreams=[row._asdict() for row in world.upstreams.rows.values()],
        drained=sorted(world.upstreams.drained),
        excluded=dict(_exclusions(world, now_ms)),
        loads={str(k): row._asdict() for k, row in world.loads.items()},
        abroad={
            str(k): row.share
            for k, row in world.placement.remote_shares.items()
        },
        requests=[_request(row) for row in world.requests.rows.values()],
        entries=[row._asdict() for row in world.entries.rows.values()],
        store={
            kind.value: row.revision
            for kind, row in world.store.watches.items()
        },
        counters=dict(world.counters),
    )


def _exclusions(
    world: gateway.World, now_ms: float
) -> abc.Iterator[tuple[str, ExclusionDump]]:
    """Yield the upstreams that get no requests now, and why."""
    for row in world.upstreams.rows.values():
        load = loads.get(world, row.upstream)
        reason: str | None = None
        for_ms: float | None = None
        if row.leaving:
            reason = 'leaving'
        elif row.domain in world.upstreams.drained:
            reason = 'drained'
        elif pauses.is_paused(world.pauses, now_ms, row.upstream):
            reason = 'paused'
            for_ms = pauses.left_ms(world.pauses, now_ms, row.upstream)
        elif load.out_until_ms > now_ms:
            reason, for_ms = 'ejected', load.out_until_ms - now_ms
        elif row.upstream in world.health_checks.rows:
            reason = 'unconfirmed'
        if reason is not None:
            yield (
                str(row.upstream),
                ExclusionDump(reason=reason, for_ms=for_ms),
            )


def _request(row: requests.RequestRow) -> RequestDump:
    return RequestDump(
        name=row.name,
        route=row.route.name,
        phase=row.phase.value,
        upstream=row.upstream,
        attempt=row.attempt,
    )
