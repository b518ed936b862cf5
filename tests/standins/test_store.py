"""Write to the store stand-in the way the store's client does."""

import functools

import httpcore
import msgspec
import pytest
import trio

from zinnialead_daemon import http
from zinnialead_standins import store as stores

STATE = '/apis/zinnialead/v1/objects/state'


async def served(nursery):
    store = stores.new_store()
    app = stores.asgi_app(store)
    run = functools.partial(http.serve, app, '127.0.0.1:0', trio.sleep_forever)
    return store, await nursery.start(run)


async def call(address, method, path, spec=None, version=None):
    document = {'spec': spec}
    if version:
        document['metadata'] = {'resourceVersion': version}
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            method,
            f'http://{address}{path}',
            content=msgspec.json.encode(document) if spec else None,
        )
    read = msgspec.json.decode(answer.content) if answer.content else None
    return answer.status, read


async def test_updates_are_conditional(nursery):
    store, address = await served(nursery)
    assert (await call(address, 'GET', STATE))[0] == 404
    assert (await call(address, 'PUT', STATE, {'n': 1}))[0] == 404
    status, made = await call(address, 'POST', STATE, {'n': 1})
    assert (status, made['spec']) == (201, {'n': 1})
    assert (await call(address, 'POST', STATE, {'n': 2}))[0] == 409
    assert (await call(address, 'PUT', STATE, {'n': 2}, '9'))[0] == 409
    assert (await call(address, 'PUT', STATE, {'n': 2}, '1'))[0] == 200
    assert (await call(address, 'GET', STATE))[1]['spec'] == {'n': 2}
    nursery.cancel_scope.cancel()


async def test_a_watch_waits_for_a_newer_version(nursery):
    store, address = await served(nursery)
    seen = []

    async def watch(version):
        query = f'?watch=true&resourceVersion={version}&timeoutSeconds=5'
        seen.append(await call(address, 'GET', STATE + query))

    async with trio.open_nursery() as watches:
        watches.start_soon(watch, 0)
        await call(address, 'POST', STATE, {'n': 1})
    assert seen[0][1]['object']['metadata']['resourceVersion'] == '1'
    stores.forget_before(store, 3)
    await watch(1)
    assert seen[1][0] == 410
    nursery.cancel_scope.cancel()


async def test_the_store_fails_in_the_ways_it_is_told(nursery):
    store, address = await served(nursery)
    store.condition = stores.Down()
    assert (await call(address, 'POST', STATE, {'n': 1}))[0] == 503
    assert not store.objects
    store.condition = stores.LosesAnswers()
    with pytest.raises(httpcore.RemoteProtocolError):
        await call(address, 'POST', STATE, {'n': 1})
    assert (await call(address, 'GET', STATE))[1]['spec'] == {'n': 1}
    nursery.cancel_scope.cancel()
