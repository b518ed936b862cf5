"""Call the store stand-in the way the store's clients do."""

import functools

import httpcore
import msgspec
import pytest
import trio

from zinnialead_daemon import http
from zinnialead_standins import store as stores
from zinnialead_standins.store import const

STATE = '/objects/state/state'
KIND = '/objects/state'


async def start_store(nursery):
    store = stores.new_store()
    app = stores.asgi_app(store)
    run = functools.partial(http.serve, app, '127.0.0.1:0', trio.sleep_forever)
    return store, await nursery.start(run)


async def call(address, method, path, spec=None, revision=None):
    metadata = {'name': 'state'}
    if revision:
        metadata['rev'] = revision
    document = {'metadata': metadata, 'spec': spec}
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            method,
            f'http://{address}{path}',
            content=msgspec.json.encode(document) if spec else None,
        )
    decoded = (
        msgspec.json.decode(response.content) if response.content else None
    )
    return response.status, decoded


async def test_updates_are_conditional(nursery):
    store, address = await start_store(nursery)
    assert (await call(address, 'GET', STATE))[0] == 404
    assert (await call(address, 'PUT', STATE, {'n': 1}))[0] == 404
    status, created = await call(address, 'POST', KIND, {'n': 1})
    assert (status, created['spec']) == (201, {'n': 1})
    first = created['metadata']['rev']
    status, reply = await call(address, 'POST', KIND, {'n': 2})
    assert (status, reply['metadata']['rev']) == (409, first)
    assert (await call(address, 'PUT', STATE, {'n': 2}, 99))[0] == 409
    assert (await call(address, 'PUT', STATE, {'n': 2}, first))[0] == 200
    assert (await call(address, 'GET', STATE))[1]['spec'] == {'n': 2}
    assert (await call(address, 'DELETE', f'{STATE}?rev={first}'))[0] == 409
    assert (await call(address, 'DELETE', STATE))[0] == 200
    assert (await call(address, 'GET', STATE))[0] == 404
    nursery.cancel_scope.cancel()


async def test_a_write_of_the_same_value_keeps_the_revision(nursery):
    store, address = await start_store(nursery)
    await call(address, 'POST', KIND, {'n': 1})
    revision = store.revision
    assert (await call(address, 'PUT', STATE, {'n': 1}))[0] == 200
    assert store.revision == revision
    nursery.cancel_scope.cancel()


async def test_a_watch_waits_for_a_newer_revision(nursery):
    store, address = await start_store(nursery)
    responses = []

    async def watch(revision, wait_ms=5_000):
        query = f'?watch={revision}&wait_ms={wait_ms}'
        responses.append(await call(address, 'GET', KIND + query))

    async with trio.open_nursery() as watches:
        watches.start_soon(watch, store.revision)
        await trio.sleep(0.1)
        stores.put(store, 'other', 'x', 1)
        await call(address, 'POST', KIND, {'n': 1})
    (event,) = responses[0][1]['events']
    assert event['object']['metadata']['rev'] == store.revision
    assert not event['deleted']
    await watch(store.revision, 50)
    assert responses[1][1] == {'events': [], 'current_rev': store.revision}
    stores.remove(store, 'state', 'state')
    await watch(store.revision - 1)
    assert responses[2][1]['events'][0]['deleted']
    stores.forget_before(store, 9)
    await watch(1)
    assert responses[3][0] == 410
    nursery.cancel_scope.cancel()


async def test_a_kind_is_listed_in_pages(nursery):
    store, address = await start_store(nursery)
    names = [f'e{n:04}' for n in range(const.PAGE_ITEMS_MAX + 3)]
    for name in names:
        stores.put(store, 'vms', name, {})
    _, first = await call(address, 'GET', '/objects/vms')
    assert first['has_more']
    after = first['items'][-1]['metadata']['name']
    _, rest = await call(address, 'GET', f'/objects/vms?after={after}')
    assert not rest['has_more']
    objects = [*first['items'], *rest['items']]
    assert [x['metadata']['name'] for x in objects] == names
    nursery.cancel_scope.cancel()


async def test_the_store_fails_as_its_condition_says(nursery):
    store, address = await start_store(nursery)
    stores.set_condition(store, stores.Down())
    assert (await call(address, 'POST', KIND, {'n': 1}))[0] == 503
    stores.set_condition(store, stores.Busy())
    assert (await call(address, 'POST', KIND, {'n': 1}))[0] == 429
    assert not store.objects['state']
    stores.set_condition(store, stores.Silent())
    with trio.move_on_after(0.2) as scope:
        await call(address, 'GET', STATE)
    assert scope.cancelled_caught
    stores.set_condition(store, stores.LosesAnswers())
    with pytest.raises(httpcore.RemoteProtocolError):
        await call(address, 'POST', KIND, {'n': 1})
    assert (await call(address, 'GET', STATE))[1]['spec'] == {'n': 1}
    nursery.cancel_scope.cancel()


async def test_withheld_events_are_delivered_later(nursery):
    store, address = await start_store(nursery)
    stores.set_condition(store, stores.WithholdsEvents())
    stores.put(store, 'state', 'state', {'n': 1})
    watch = f'{KIND}?watch=1&wait_ms=100'
    assert (await call(address, 'GET', watch))[1]['events'] == []
    stores.set_condition(store, stores.Up())
    assert len((await call(address, 'GET', watch))[1]['events']) == 1
    nursery.cancel_scope.cancel()
