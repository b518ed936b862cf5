"""Serve look-ups and readiness checks."""

import dataclasses

from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.entries import selection
from zinnialead_gateway import dialect as dialects
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import models as http_models

OK = 200
JSON: http_models.Headers = [(b'Content-Type', b'application/json')]


@dataclasses.dataclass(slots=True)
class Directory:
    """Hold the sources of look-up responses."""

    engine: engines.Engine
    dialect: dialects.Dialect


async def handle(
    directory: Directory,
    _caller: http_models.Caller,
    request: http_models.Request,
) -> http_models.Response:
    """Return the addresses of the entries that a caller should use."""
    target = request.target.decode('latin-1')
    look_up = directory.dialect.read_look_up(target)
    world = directory.engine.world
    if look_up is None:
        return http_models.Response(404, [], b'no such look-up\n')
    world.counters['directory.look_ups'] += 1
    addresses = selection.addresses(
        world, engines.now_ms(), look_up.domain, look_up.region
    )
    body = directory.dialect.write_addresses(
        addresses, world.node.bounds.directory_ttl_ms
    )
    return http_models.Response(OK, JSON, body)


async def handle_ready(
    directory: Directory,
    _caller: http_models.Caller,
    _request: http_models.Request,
) -> http_models.Response:
    """Return whether this entry is ready for callers."""
    if members.is_ready(directory.engine.world):
        return http_models.Response(OK, [], b'ready\n')
    return http_models.Response(503, [], b'not ready\n')
