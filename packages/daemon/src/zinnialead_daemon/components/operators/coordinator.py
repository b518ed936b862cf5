"""Serve operators' calls that carry a valid credential."""

import functools
import hmac

import zinnialead_config
from zinnialead_core import inputs as inp
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.engine import diagnostics
from zinnialead_daemon.components.operators import const
from zinnialead_daemon.components.operators import documents
from zinnialead_daemon.components.operators import fleet
from zinnialead_daemon.components.operators import models
from zinnialead_daemon import http

JSON_HEADERS = [(b'content-type', b'application/json')]


def asgi_app(operators: models.Operators) -> http.AsgiApp:
    """Return the ASGI application that serves operators."""
    return functools.partial(_serve, operators)


async def _serve(
    operators: models.Operators,
    scope: http.Scope,
    receive: http.Receive,
    send: http.Send,
) -> None:
    match _answer(operators, scope):
        case http.Problem() as problem:
            await http.send_problem(send, problem)
        case bytes() as document:
            await http.respond(send, 200, JSON_HEADERS, document)
        case answer:
            await http.respond(
                send, 200, JSON_HEADERS, documents.encode(answer)
            )


def _answer(
    operators: models.Operators, scope: http.Scope
) -> object | http.Problem:
    if not is_authorized(operators.token, scope['headers']):
        operators.engine.world.counters['operators.denied'] += 1
        return http.Problem(401, 'credential', 'a bearer token is needed')
    engine = operators.engine
    match scope['method'], scope['path']:
        case 'GET', const.DUMP_PATH:
            return full_dump(operators)
        case 'GET', const.FLEET_PATH:
            return fleet.fleet(engine.world, engine.now_ms())
        case 'GET', const.STATE_PATH:
            return zinnialead_config.encode_state(
                engine.world.states['in-force']
            )
        case 'POST', const.STOP_PATH:
            engines.feed(engine, inp.StopRequested())
            in_progress = len(engine.world.requests.rows)
            return models.Stopping(stopping=True, in_hand=in_progress)
        case method, path:
            return http.Problem(
                404, 'no-such-path', f'{method} {path} is not served'
            )


def full_dump(operators: models.Operators) -> models.FullDump:
    """Return the dump of the core and of each component of the daemon."""
    return models.FullDump(
        core=diagnostics.dump(operators.engine),
        edges={
            name: dump_component()
            for name, dump_component in operators.edges.items()
        },
    )


def is_authorized(token: bytes, headers: http.Headers) -> bool:
    """Return whether the headers carry the operators' token.

    >>> is_authorized(b's3', [(b'authorization', b'Bearer s3')])
    True
    >>> is_authorized(b'', [(b'authorization', b'Bearer ')])
    False
    """
    given_value = dict(headers).get(const.HEADER_AUTHORIZATION, b'')
    expected_value = const.BEARER_PREFIX + token
    return bool(token) and hmac.compare_digest(given_value, expected_value)
