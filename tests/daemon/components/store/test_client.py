"""Call the store stand-in and misbehaving servers over loopback."""

import functools

import pytest
import trio

from core import samples
import endless
import zinnialead_config as config
import zinnialead_core as core
from zinnialead_core.components import store
from zinnialead_core import ids
from zinnialead_core import outputs as out
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components import store as clients
from zinnialead_daemon import http
from zinnialead_standins import store as stores


async def serve(nursery, app):
    run = functools.partial(http.serve, app, '127.0.0.1:0', trio.sleep_forever)
    return await nursery.start(run)


def new_client(nursery, *addresses):
    node = core.NodeRow(
        ids.EntryRef('e1', 1), samples.DOMAIN, 'kigali', '127.0.0.1:1'
    )
    engine = engines.new_engine(core.new_world(node, seed=1))
    return clients.set_up(engine, nursery, addresses)


async def result(client, call, left_ms=5_000.0):
    """Make one call and return the result and inputs fed to the core."""
    world = client.engine.world
    call_id = 1_000 + len(world.store.open_calls)
    world.store.open_calls[call_id] = None
    fed = []
    feed = clients.coordinator._feed

    def record(client, output, outcome, *inputs, era=0):
        fed.append((outcome, inputs))
        feed(client, output, outcome, *inputs, era=era)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(clients.coordinator, '_feed', record)
        deadline_ms = client.engine.now_ms() + left_ms
        async with trio.open_nursery() as calls:
            client.nursery = calls
            clients.call(client, out.CallStore(call_id, call, deadline_ms))
    return fed[0]


async def test_objects_are_read_written_and_watched(nursery):
    store_server = stores.new_store()
    client = new_client(
        nursery, await serve(nursery, stores.asgi_app(store_server))
    )
    make_call = functools.partial(result, client)
    assert (await make_call(store.Read('x')))[0] == store.Missing('x')
    created = (await make_call(store.Create('x', b'{"n":1}')))[0]
    assert isinstance(created, store.Found), created
    assert created == store.Found('x', b'{"n":1}', created.version)
    assert (await make_call(store.Create('x', b'1')))[0] == store.Conflict('x')
    stale_update = store.Update('x', b'2', created.version + 7)
    assert (await make_call(stale_update))[0] == store.Conflict('x')
    watch = store.Watch('x', created.version)
    assert (await make_call(watch, 1_500.0))[0] == store.Unchanged('x')
    updated = (await make_call(store.Update('x', b'[2]', created.version)))[0]
    assert updated.version > created.version
    assert (await make_call(watch))[0] == store.Found(
        'x', b'[2]', updated.version
    )
    stores.forget_before(store_server, updated.version)
    assert (await make_call(watch))[0] == store.TooOld('x')
    nursery.cancel_scope.cancel()


async def test_a_state_is_put_in_force_and_a_malformed_one_counted(nursery):
    store_server = stores.new_store()
    client = new_client(
        nursery, await serve(nursery, stores.asgi_app(store_server))
    )
    world = client.engine.world
    value = config.encode_state(samples.state(number=4))
    await result(client, store.Create('state', value))
    assert world.states['in-force'].number == 4
    outcome, _ = await result(client, store.Read('state'))
    await result(client, store.Update('state', b'{}', outcome.version))
    assert world.counters['store.state_damaged'] == 1
    assert world.states['in-force'].number == 4
    nursery.cancel_scope.cancel()


async def test_the_list_names_entries(nursery):
    store_server = stores.new_store()
    vm = {'domain': 'kigali-b', 'address': '127.0.0.1:7'}
    stores.put(store_server, 'vms', 'e7', vm)
    client = new_client(
        nursery, await serve(nursery, stores.asgi_app(store_server))
    )
    outcome, _ = await result(client, store.ListVms())
    assert outcome == store.Listed()
    assert client.engine.world.members['e7'].address == '127.0.0.1:7'
    nursery.cancel_scope.cancel()


async def test_a_long_list_is_read_in_pages(nursery):
    """Reading only the first page would miss most of a large fleet."""
    store_server = stores.new_store()
    names = {f'e{n:03}' for n in range(930)}
    for name in names:
        vm = {'domain': 'kigali-b', 'address': f'127.0.0.1:{name[1:]}'}
        stores.put(store_server, 'vms', name, vm)
    client = new_client(
        nursery, await serve(nursery, stores.asgi_app(store_server))
    )
    outcome, _ = await result(client, store.ListVms())
    assert outcome.next_after
    outcome, _ = await result(client, store.ListVms(after=outcome.next_after))
    assert outcome == store.Listed()
    assert client.engine.world.members.keys() >= names
    nursery.cancel_scope.cancel()


async def test_an_outage_and_a_lost_answer_differ(nursery):
    store_server = stores.new_store()
    client = new_client(
        nursery, await serve(nursery, stores.asgi_app(store_server))
    )
    store_server.condition = stores.Down()
    outcome, _ = await result(client, store.Read('x'))
    assert isinstance(outcome, store.Refused)
    store_server.condition = stores.LosesAnswers()
    outcome, _ = await result(client, store.Create('x', b'1'), 300.0)
    assert isinstance(outcome, store.Failed)
    assert store_server.objects['x']['x']['spec'] == 1
    nursery.cancel_scope.cancel()


async def test_the_next_address_is_tried_after_a_failure(nursery):
    store_server = stores.new_store()
    address = await serve(nursery, stores.asgi_app(store_server))
    client = new_client(nursery, '127.0.0.1:1', address)
    outcome, _ = await result(client, store.Read('x'))
    assert isinstance(outcome, store.Failed)
    outcome, _ = await result(client, store.Read('x'))
    assert outcome == store.Missing('x')
    nursery.cancel_scope.cancel()


async def test_retry_after_is_found_however_the_store_writes_its_name(nursery):
    async def respond(scope, receive, send):
        headers = [(scope['path'].encode()[-11:], b'7')]
        await http.respond(send, 429, headers, b'')

    client = new_client(nursery, await serve(nursery, respond))
    for name in ('retry-after', 'Retry-After', 'RETRY-AFTER'):
        outcome, _ = await result(client, store.Read(name))
        assert outcome == store.Refused(name, 7_000.0)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'body',
    [b'', b'{', b'[]', b'{"metadata":{},"spec":1}', b'x' * 3_000_000]
    + [b'{"metadata":{"rev":"x"},"spec":1}'],
    ids=range(6),
)
async def test_malformed_answers_are_failures(nursery, body):
    async def respond(scope, receive, send):
        await http.respond(send, 200, [], body)

    client = new_client(nursery, await serve(nursery, respond))
    for call in (store.Read('x'), store.Watch('x', 1), store.ListVms()):
        outcome, _ = await result(client, call)
        if call == store.ListVms() and body.startswith(b'{"meta'):
            continue
        assert isinstance(outcome, store.Failed)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('kind', endless.ENDLESS)
async def test_an_endless_answer_of_the_store_is_a_failure(nursery, kind):
    async def handle(stream):
        await stream.receive_some(65_536)
        await endless.write(stream, endless.ENDLESS[kind])

    listeners = await nursery.start(
        functools.partial(trio.serve_tcp, handle, 0, host='127.0.0.1')
    )
    port = listeners[0].socket.getsockname()[1]
    client = new_client(nursery, f'127.0.0.1:{port}')
    with trio.fail_after(1.0):
        outcome, _ = await result(client, store.Read('x'))
    assert isinstance(outcome, store.Failed)
    nursery.cancel_scope.cancel()
