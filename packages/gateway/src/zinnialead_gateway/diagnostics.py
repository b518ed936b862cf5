"""Build the state dump of a process."""

import typing

from zinnialead_core import gateway
from zinnialead_core.gateway.requests import models as requests
from zinnialead_core.gateway.routes import coordinator as routes


class RequestDump(typing.TypedDict):
    """Hold the state of a request."""

    name: str
    route: str
    phase: str
    upstream: str | None
    attempt: int


class Dump(typing.TypedDict):
    """Hold the state of a process."""

    entry: str
    incarnation: int
    version: int
    upstreams: list[dict[str, typing.Any]]
    drained: list[str]
    loads: dict[str, dict[str, typing.Any]]
    abroad: dict[str, float]
    requests: list[RequestDump]
    entries: list[dict[str, typing.Any]]
    store: dict[str, typing.Any]
    counters: dict[str, int]


def dump(world: gateway.World) -> Dump:
    """Return the state dump of a process."""
    configuration = routes.active_configuration(world)
    return Dump(
        entry=world.node.ref.entry,
        incarnation=world.node.ref.incarnation,
        version=configuration.version if configuration else 0,
        upstreams=[row._asdict() for row in world.upstreams.rows.values()],
        drained=sorted(world.upstreams.drained),
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


def _request(row: requests.RequestRow) -> RequestDump:
    return RequestDump(
        name=row.name,
        route=row.route.name,
        phase=row.phase.value,
        upstream=row.upstream,
        attempt=row.attempt,
    )
