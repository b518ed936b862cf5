"""Serve the operators' command line and the metrics scraper.

The port is internal and not reachable by callers.
"""

import dataclasses

import msgspec

from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_gateway import diagnostics
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import models as http_models
from zinnialead_gateway.metrics import coordinator as metrics

JSON: http_models.Headers = [(b'Content-Type', b'application/json')]


@dataclasses.dataclass(slots=True)
class Operators:
    """Hold the sources of the operators' pages."""

    engine: engines.Engine
    metrics: metrics.Metrics


async def handle(
    operators: Operators,
    _caller: http_models.Caller,
    request: http_models.Request,
) -> http_models.Response:
    """Return the requested page."""
    world = operators.engine.world
    match request.target.partition(b'?')[0]:
        case b'/metrics':
            return metrics.render_page(operators.metrics)
        case b'/v1/dump':
            return _json(diagnostics.dump(world, engines.now_ms()))
        case b'/v1/state':
            configuration = routes.active_configuration(world)
            drained = sorted(world.upstreams.drained)
            return _json({'configuration': configuration, 'drained': drained})
        case _:
            return http_models.Response(404, [], b'no such page\n')


def _json(document: object) -> http_models.Response:
    # msgspec would encode rows as lists without field names.
    body = msgspec.json.encode(_to_plain(document))
    return http_models.Response(200, JSON, body)


def _to_plain(value: object) -> object:
    """Convert rows to dictionaries by field name, recursively."""
    match value:
        case tuple() if hasattr(value, '_asdict'):
            return {k: _to_plain(v) for k, v in value._asdict().items()}
        case dict():
            return {str(k): _to_plain(v) for k, v in value.items()}
        case list() | tuple() | frozenset() | set():
            return [_to_plain(item) for item in value]
        case _:
            return value
