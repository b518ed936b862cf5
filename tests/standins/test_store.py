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


async def ask(store, method, target, spec=None):
    document = {'metadata': {'name': 'state'}, 'spec': spec}
    return await stores.answer(
        store, method, target, msgspec.json.encode(document)
    )


async def test_a_restored_store_has_lost_what_came_after_its_copy():
    store = stores.new_store()
    stores.put(store, 'state', 'kept', 1)
    stores.put(store, 'state', 'state', 1)
    copy = stores.snapshot(store)
    stores.put(store, 'state', 'state', 2)
    stores.put(store, 'late', 'late', 1)
    stores.remove(store, 'state', 'kept')
    stores.restore(store, copy)
    assert sorted(store.objects['state']) == ['kept', 'state']
    assert store.objects['state']['state']['spec'] == 1
    assert not store.objects['late']
    # The revisions of the lost changes are given out again.
    lost_revision = copy.revision + 1
    assert stores.put(store, 'state', 'state', 3) == lost_revision
    watch = f'{KIND}?watch={copy.revision - 1}&wait_ms=50'
    events = msgspec.json.decode((await ask(store, 'GET', watch)).body)
    specs = [x['object']['spec'] for x in events['events']]
    assert specs == [1, 3]
    # The copy itself is as it was.
    stores.restore(store, copy)
    assert store.objects['state']['state']['spec'] == 1


@pytest.mark.parametrize('restored', [False, True])
async def test_a_watch_from_a_revision_that_is_not_there_gets_410(restored):
    store = stores.new_store()
    copy = stores.snapshot(store)
    revision = stores.put(store, 'state', 'state', 1)
    if restored:
        stores.restore(store, copy)
    for ahead, status in (0, 410 if restored else 200), (1, 410):
        watch = f'{KIND}?watch={revision + ahead}&wait_ms=50'
        assert (await ask(store, 'GET', watch)).status == status


async def test_a_restore_keeps_the_history_of_the_copy_only():
    store = stores.new_store()
    stores.put(store, 'state', 'state', 1)
    stores.forget_before(store, store.revision)
    copy = stores.snapshot(store)
    stores.put(store, 'state', 'state', 2)
    stores.forget_before(store, store.revision)
    stores.restore(store, copy)
    stores.put(store, 'state', 'state', 3)
    watch = f'{KIND}?watch={copy.revision - 1}&wait_ms=50'
    assert (await ask(store, 'GET', watch)).status == 410
    watch = f'{KIND}?watch={copy.revision}&wait_ms=50'
    assert (await ask(store, 'GET', watch)).status == 200


async def test_a_restore_cuts_the_watches_that_wait(nursery):
    store, address = await start_store(nursery)
    copy = stores.snapshot(store)

    async def watch():
        with pytest.raises(httpcore.RemoteProtocolError):
            await call(address, 'GET', f'{KIND}?watch=1')

    with trio.fail_after(5.0):
        async with trio.open_nursery() as watches:
            watches.start_soon(watch)
            await trio.sleep(0.1)
            stores.restore(store, copy)
    nursery.cancel_scope.cancel()


async def test_each_answer_tells_the_era():
    store = stores.new_store()
    copy = stores.snapshot(store)
    calls = [
        ('POST', KIND, {'n': 1}, 201),
        ('POST', KIND, {'n': 1}, 409),
        ('GET', STATE, None, 200),
        ('GET', '/objects/state/none', None, 404),
        ('GET', '/none', None, 404),
        ('GET', f'{KIND}?watch=99', None, 410),
        ('PATCH', KIND, None, 405),
    ]
    for era in const.FIRST_ERA, const.FIRST_ERA + 1:
        for method, target, spec, status in calls:
            reply = await ask(store, method, target, spec)
            assert (reply.status, reply.era) == (status, era)
        for condition, status in (stores.Down(), 503), (stores.Busy(), 429):
            stores.set_condition(store, condition)
            reply = await ask(store, 'GET', STATE)
            assert (reply.status, reply.era) == (status, era)
        stores.set_condition(store, stores.Up())
        stores.restore(store, copy)
