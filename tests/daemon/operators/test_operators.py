"""Call an entry through its operators' port."""

import functools

import httpcore
import msgspec
import trio

from core.components.slots import asking
from core import samples
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components import operators
from zinnialead_daemon import http

AUTH = [(b'authorization', b'Bearer s3cret')]


async def call(address, method, path, headers=()):
    url = f'http://{address}{path}'
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(method, url, headers=list(headers))


async def serve(nursery, world):
    engine = engines.new_engine(world, lambda: 0.0)
    app = operators.asgi_app(operators.Operators(engine, b's3cret'))
    run = functools.partial(http.serve, app, '127.0.0.1:0', trio.sleep_forever)
    return engine, await nursery.start(run)


async def test_calls_without_the_credential_are_denied(nursery):
    engine, address = await serve(nursery, samples.world())
    wrong_token = [(b'authorization', b'Bearer s3cre')]
    for headers in ((), wrong_token):
        answer = await call(address, 'POST', '/v1/stop', headers)
        assert answer.status == 401
    assert engine.world.counters['operators.denied'] == 2
    assert not engine.world.requests.stopping
    nursery.cancel_scope.cancel()


async def test_fleet_state_and_dump_are_json(nursery):
    engine, address = await serve(nursery, samples.world())
    answers = {}
    for path in ('/v1/fleet', '/v1/state', '/v1/dump'):
        answer = await call(address, 'GET', path, AUTH)
        assert b's3cret' not in answer.content
        answers[path] = msgspec.json.decode(answer.content)
    assert answers['/v1/fleet']['members'][0]['state_number'] == 1
    assert answers['/v1/state']['services']['intake']['queue_max'] == 100
    assert answers['/v1/dump']['core']['entry'] == 'entry-1'
    nursery.cancel_scope.cancel()


async def test_the_fleet_view_of_a_slot_owner_counts_its_queued_asks(nursery):
    world = asking.world_with(slots=1)
    asking.tell(world, 1.0, *(asking.ask(number) for number in range(3)))
    asking.tell(world, 1.0, asking.ask(3, 'normal'))
    engine, address = await serve(nursery, world)
    answer = await call(address, 'GET', '/v1/fleet', AUTH)
    assert answer.status == 200
    assert msgspec.json.decode(answer.content)['queues'] == [
        {'service': 'pricebook', 'rank': 'normal', 'queued': 1},
        {'service': 'pricebook', 'rank': 'urgent', 'queued': 2},
    ]
    nursery.cancel_scope.cancel()


async def test_stop_is_passed_to_the_core(nursery):
    engine, address = await serve(nursery, samples.world())
    engine.handlers['stopped'] = lambda: None
    answer = await call(address, 'POST', '/v1/stop', AUTH)
    assert msgspec.json.decode(answer.content)['stopping'] is True
    assert engine.world.requests.stopping
    nursery.cancel_scope.cancel()
