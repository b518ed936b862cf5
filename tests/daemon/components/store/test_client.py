"""Call the store stand-in over loopback, and odd servers."""

import functools

import pytest
import trio

from core import samples
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
    """Make one call and return what the core is told of it."""
    world = client.engine.world
    call_id = 1_000 + len(world.store.open_calls)
    world.store.open_calls[call_id] = None
    told = []
    feed = clients.coordinator._feed

    def note(client, output, found, *seen):
        told.append((found, seen))
        feed(client, output, found, *seen)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(clients.coordinator, '_feed', note)
        deadline_ms = client.engine.now_ms() + left_ms
        async with trio.open_nursery() as calls:
            client.nursery = calls
            clients.call(client, out.CallStore(call_id, call, deadline_ms))
    return told[0]


async def test_objects_are_read_written_and_watched(nursery):
    made = stores.new_store()
    client = new_client(nursery, await serve(nursery, stores.asgi_app(made)))
    ask = functools.partial(result, client)
    assert (await ask(store.Read('x')))[0] == store.Missing('x')
    first = (await ask(store.Create('x', b'{"n":1}')))[0]
    assert isinstance(first, store.Found), first
    assert first == store.Found('x', b'{"n":1}', first.version)
    assert (await ask(store.Create('x', b'1')))[0] == store.Conflict('x')
    stale = store.Update('x', b'2', first.version + 7)
    assert (await ask(stale))[0] == store.Conflict('x')
    watch = store.Watch('x', first.version)
    assert (await ask(watch, 1_500.0))[0] == store.Unchanged('x')
    second = (await ask(store.Update('x', b'[2]', first.version)))[0]
    assert second.version > first.version
    assert (await ask(watch))[0] == store.Found('x', b'[2]', second.version)
    stores.forget_before(made, second.version)
    assert (await ask(watch))[0] == store.TooOld('x')
    nursery.cancel_scope.cancel()


async def test_a_state_is_put_in_force_and_a_damaged_one_counted(nursery):
    made = stores.new_store()
    client = new_client(nursery, await serve(nursery, stores.asgi_app(made)))
    world = client.engine.world
    value = config.encode_state(samples.state(number=4))
    await result(client, store.Create('state', value))
    assert world.states['in-force'].number == 4
    found, _ = await result(client, store.Read('state'))
    await result(client, store.Update('state', b'{}', found.version))
    assert world.counters['store.state_damaged'] == 1
    assert world.states['in-force'].number == 4
    nursery.cancel_scope.cancel()


async def test_the_list_names_entries(nursery):
    made = stores.new_store()
    vm = {'domain': 'kigali-b', 'address': '127.0.0.1:7'}
    stores.put(made, 'vms', 'e7', vm)
    client = new_client(nursery, await serve(nursery, stores.asgi_app(made)))
    found, _ = await result(client, store.ListVms())
    assert found == store.Listed()
    assert client.engine.world.members['e7'].address == '127.0.0.1:7'
    nursery.cancel_scope.cancel()


async def test_a_long_list_is_read_in_pages(nursery):
    """The first page alone once stood for all of a large fleet."""
    made = stores.new_store()
    names = {f'e{n:03}' for n in range(930)}
    for name in names:
        vm = {'domain': 'kigali-b', 'address': f'127.0.0.1:{name[1:]}'}
        stores.put(made, 'vms', name, vm)
    client = new_client(nursery, await serve(nursery, stores.asgi_app(made)))
    found, _ = await result(client, store.ListVms())
    assert found.next_after
    found, _ = await result(client, store.ListVms(after=found.next_after))
    assert found == store.Listed()
    assert client.engine.world.members.keys() >= names
    nursery.cancel_scope.cancel()


async def test_an_outage_and_a_lost_answer_are_told_apart(nursery):
    made = stores.new_store()
    client = new_client(nursery, await serve(nursery, stores.asgi_app(made)))
    made.condition = stores.Down()
    found, _ = await result(client, store.Read('x'))
    assert isinstance(found, store.Refused)
    made.condition = stores.LosesAnswers()
    found, _ = await result(client, store.Create('x', b'1'), 300.0)
    assert isinstance(found, store.Failed)
    assert made.objects['x']['x']['spec'] == 1
    nursery.cancel_scope.cancel()


async def test_the_next_address_is_tried_after_a_failure(nursery):
    made = stores.new_store()
    address = await serve(nursery, stores.asgi_app(made))
    client = new_client(nursery, '127.0.0.1:1', address)
    found, _ = await result(client, store.Read('x'))
    assert isinstance(found, store.Failed)
    found, _ = await result(client, store.Read('x'))
    assert found == store.Missing('x')
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'body',
    [b'', b'{', b'[]', b'{"metadata":{},"spec":1}', b'x' * 3_000_000]
    + [b'{"metadata":{"rev":"x"},"spec":1}'],
    ids=range(6),
)
async def test_odd_answers_are_failures(nursery, body):
    async def odd(scope, receive, send):
        await http.respond(send, 200, [], body)

    client = new_client(nursery, await serve(nursery, odd))
    for call in (store.Read('x'), store.Watch('x', 1), store.ListVms()):
        found, _ = await result(client, call)
        if call == store.ListVms() and body.startswith(b'{"meta'):
            continue
        assert isinstance(found, store.Failed)
    nursery.cancel_scope.cancel()
