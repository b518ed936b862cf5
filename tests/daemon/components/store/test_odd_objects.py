"""Test that an odd object of another writer leaves the others in use."""

import functools
import json

import httpcore
import msgspec
import pytest
import trio

from core import samples
from daemon.components.store import test_client
import zinnialead_config as config
from zinnialead_core.components import store
from zinnialead_core import inputs as inp
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components import store as clients
from zinnialead_daemon.components.store import documents
from zinnialead_daemon.components.store import models
from zinnialead_daemon.components.upstreams import poller
from zinnialead_daemon import http
from zinnialead_standins import store as stores

VM = {'domain': 'kigali-b', 'address': '127.0.0.1:7'}
UNREADABLE = {
    'float': b'1e999',
    'integer': b'9' * 5_000,
    'not-utf-8': b'"\xff"',
    'half-of-a-character': b'"\\ud800"',
    'not-a-number': b'NaN',
    'bytes': b'\x00\x80\xfe',
}
NESTED = {
    'arrays': b'[' * 100_000 + b']' * 100_000,
    'objects': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'mixed': b'[{"a":' * 50_000 + b'1' + b'}]' * 50_000,
    'a-megabyte': b'[' * 500_000 + b']' * 500_000,
}


def encode(name, spec=VM, rev=3):
    metadata = {'name': name, 'rev': rev}
    return msgspec.json.encode({'metadata': metadata, 'spec': spec})


def page(*items, more=b'false'):
    return b'{"items":[%s],"has_more":%s,"current_rev":9}' % (
        b','.join(items),
        more,
    )


def read_list(body):
    """Return the result of a list, and what it says of each VM."""
    answer = models.Answer(200, body, 0.0)
    result = documents.result(store.ListVms(), answer)
    return result, list(documents.listed(body))


def split(vms):
    """Return the names of the VMs, and what can't be read."""
    unreadable = [x for x in vms if isinstance(x, inp.VmUnreadable)]
    names = [x.entry for x in vms if isinstance(x, inp.PeerSeen)]
    return names, unreadable


ODD_SPECS = {
    **UNREADABLE,
    'null': b'null',
    'list': b'[]',
    'empty': b'{}',
    'no-address': b'{"domain":"a"}',
    'domain-of-another-type': b'{"domain":3,"address":"127.0.0.1:7"}',
    'no-domain': b'{"domain":"","address":"127.0.0.1:7"}',
    'leaving-of-another-type': (
        b'{"domain":"a","address":"127.0.0.1:7","leaving":"no"}'
    ),
}
ODD_SPECS |= {
    address: json.dumps({'domain': 'a', 'address': address}).encode()
    for address in (
        '127.0.0.1:65536',
        '127.0.0.1:99999',
        '127.0.0.1:' + '9' * 20,
        '127.0.0.1:-1',
        '127.0.0.1:+1',
        '127.0.0.1:8_0',
        '127.0.0.1:\u0668',
        '127.0.0.1:\u00b2',
        '127.0.0.1:',
        '127.0.0.1',
        ':80',
        '',
    )
}
NO_OBJECTS = [b'null', b'3', b'"x"', b'[]', b'{}', b'1e999', b'{"spec":{}}']
NO_OBJECTS += [
    b'{"metadata":%s,"spec":{}}' % x
    for x in (b'null', b'3', b'[]', b'{}', b'{"rev":3}', b'{"name":3,"rev":3}')
]

NO_OBJECTS.append(
    b'{"metadata":{"rev":3},"spec":{"domain":"a","address":"127.0.0.1:7"}}'
)


@pytest.mark.parametrize('position', [0, 1, 2])
@pytest.mark.parametrize('value', ODD_SPECS.values(), ids=ODD_SPECS.keys())
def test_an_unreadable_vm_leaves_the_others_readable(value, position):
    items = [encode('e1'), encode('e2')]
    items.insert(position, encode('odd', msgspec.Raw(value), 4))
    _, vms = read_list(page(*items))
    names, unreadable = split(vms)
    assert names == ['e1', 'e2']
    (row,) = unreadable
    assert (row.name, row.version) == ('odd', 4)
    assert 0 < len(row.reason) <= 200


@pytest.mark.parametrize('position', [0, 1, 2])
@pytest.mark.parametrize('value', NO_OBJECTS)
def test_an_item_that_is_no_object_leaves_the_others_readable(value, position):
    items = [encode('e1'), encode('e2')]
    items.insert(position, value)
    _, vms = read_list(page(*items))
    names, unreadable = split(vms)
    assert names == ['e1', 'e2']
    assert len(unreadable) == 1


@pytest.mark.parametrize('value', NO_OBJECTS)
def test_a_list_continues_after_an_odd_last_item(value):
    result, _ = read_list(page(encode('e1'), value, more=b'true'))
    assert result.next_after == 'e1'


def test_a_list_that_could_not_continue_is_an_error():
    with pytest.raises(ValueError, match='name'):
        read_list(page(b'{}', more=b'true'))


async def new_client(nursery):
    """Return a store with an odd VM, and a client of it."""
    odd_store = stores.new_store()
    for name in ('e2', 'e8'):
        stores.put(odd_store, 'vms', name, VM)
    address = await test_client.serve(nursery, stores.asgi_app(odd_store))
    return odd_store, test_client.new_client(nursery, address)


@pytest.mark.parametrize('value', ODD_SPECS.values(), ids=ODD_SPECS.keys())
async def test_a_client_uses_the_others_of_a_list(nursery, value):
    odd_store, client = await new_client(nursery)
    stores.put(odd_store, 'vms', 'e5', msgspec.Raw(value))
    outcome, _ = await test_client.result(client, store.ListVms())
    assert isinstance(outcome, store.Listed)
    assert client.engine.world.members.keys() >= {'e2', 'e8'}
    assert 'e5' not in client.engine.world.members
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('value', NO_OBJECTS)
async def test_an_item_that_is_no_object_ends_no_client(nursery, value):
    odd_store, client = await new_client(nursery)
    odd_store.objects['vms']['e5'] = msgspec.Raw(value)
    outcome, _ = await test_client.result(client, store.ListVms())
    assert isinstance(outcome, store.Listed)
    assert client.engine.world.members.keys() >= {'e2', 'e8'}
    nursery.cancel_scope.cancel()


async def test_an_unreadable_vm_is_logged_once_per_change(nursery):
    odd_store, client = await new_client(nursery)
    stores.put(odd_store, 'vms', 'e5', {})
    lines = []
    client.engine.handlers['log_change'] = lines.append
    for _ in range(3):
        await test_client.result(client, store.ListVms())
    assert [(x.subject, x.after[:10]) for x in lines] == [
        ('vms e5', 'unreadable')
    ]
    stores.put(odd_store, 'vms', 'e5', {'a': 1})
    await test_client.result(client, store.ListVms())
    assert len(lines) == 2
    assert client.engine.world.counters['store.unreadable'] == 2
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('position', [0, 1, 2])
@pytest.mark.parametrize('value', NESTED.values(), ids=NESTED.keys())
def test_a_deeply_nested_vm_leaves_the_others_readable(value, position):
    """Decoders raise RecursionError, which is no ValueError."""
    for odd in (value, encode('odd', msgspec.Raw(value), 4)):
        items = [encode('e1'), encode('e2')]
        items.insert(position, odd)
        _, vms = read_list(page(*items))
        names, unreadable = split(vms)
        assert names == ['e1', 'e2']
        assert len(unreadable) == 1


@pytest.mark.parametrize('value', NESTED.values(), ids=NESTED.keys())
async def test_a_deeply_nested_vm_ends_no_client(nursery, value):
    odd_store, client = await new_client(nursery)
    stores.put(odd_store, 'vms', 'e5', msgspec.Raw(value))
    outcome, _ = await test_client.result(client, store.ListVms())
    assert isinstance(outcome, store.Listed)
    assert client.engine.world.members.keys() >= {'e2', 'e8'}
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('value', NESTED.values(), ids=NESTED.keys())
async def test_a_deeply_nested_state_is_not_put_in_force(nursery, value):
    odd_store, client = await new_client(nursery)
    world = client.engine.world
    good = config.encode_state(samples.state(number=4))
    version = stores.put(odd_store, 'state', 'state', msgspec.Raw(good))
    outcome, _ = await test_client.result(client, store.Read('state'))
    assert world.states['in-force'].number == 4
    odd_version = stores.put(odd_store, 'state', 'state', msgspec.Raw(value))
    for call in (store.Watch('state', version), store.Read('state')):
        outcome, _ = await test_client.result(client, call)
        # The next watch begins after it.
        assert isinstance(outcome, store.Found)
        assert outcome.version == odd_version
    assert world.counters['store.state_damaged'] == 2
    assert world.states['in-force'].number == 4
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('value', NESTED.values(), ids=NESTED.keys())
async def test_deeply_nested_bindings_end_no_client(nursery, value):
    odd_store, client = await new_client(nursery)
    stores.put(odd_store, 'keys', 'keys-1', msgspec.Raw(value))
    call = store.ReadBindings('keys-1')
    outcome, _ = await test_client.result(client, call)
    assert isinstance(outcome, store.Failed)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('value', NESTED.values(), ids=NESTED.keys())
async def test_a_deeply_nested_answer_ends_no_client(nursery, value):
    async def respond(scope, receive, send):
        await http.respond(send, 200, [], value)

    address = await test_client.serve(nursery, respond)
    client = test_client.new_client(nursery, address)
    for call in (
        store.Read('x'),
        store.Watch('x', 1),
        store.ListVms(),
        store.ReadBindings('x'),
    ):
        outcome, _ = await test_client.result(client, call)
        assert isinstance(outcome, store.Failed)
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('value', NESTED.values(), ids=NESTED.keys())
def test_a_deeply_nested_load_counts_as_missing(value):
    for content in (value, b'{"in_flight":3,"x":%s}' % value):
        response = httpcore.Response(200, content=content)
        response.read()
        assert poller.parse_load(response) == {}


@pytest.mark.parametrize('value', NESTED.values(), ids=NESTED.keys())
def test_a_deeply_nested_state_from_a_peer_is_refused(value):
    assert config.decode_state(value).is_error()


ODD_EVENTS = {
    'unreadable': b'{"object":{"metadata":{"name":"o"},"spec":1e999}}',
    'no-object': b'{"deleted":false}',
    'null': b'null',
    'nested': b'{"object":{"metadata":{"rev":8},"spec":%s}}' % NESTED['mixed'],
    'another': b'{"object":%s}' % encode('other', {}, 8),
    'unreadable-itself': b'{"object":{"metadata":{"name":"state"}}}',
}


@pytest.mark.parametrize('position', [0, 1])
@pytest.mark.parametrize('event', ODD_EVENTS.values(), ids=ODD_EVENTS.keys())
def test_an_odd_change_leaves_the_others_readable(event, position):
    events = [b'{"object":%s}' % encode('state', 3, 7)]
    events.insert(position, event)
    body = b'{"events":[%s],"current_rev":9}' % b','.join(events)
    answer = models.Answer(200, body, 0.0)
    result = documents.result(store.Watch('state', 5), answer)
    assert result == store.Found('state', b'3', 7)


@pytest.mark.parametrize('event', ODD_EVENTS.values(), ids=ODD_EVENTS.keys())
def test_a_watch_continues_after_changes_that_do_not_concern_it(event):
    """A watch from the same version would end at once, again and again."""
    body = b'{"events":[%s],"current_rev":9}' % event
    answer = models.Answer(200, body, 0.0)
    result = documents.result(store.Watch('state', 5), answer)
    assert result == store.Unchanged('state', 9)


@pytest.mark.parametrize('spec', [b'{}', b'1e999', NESTED['arrays']])
async def test_another_object_of_a_kind_costs_no_calls(nursery, spec):
    odd_store, client = await new_client(nursery)
    good = config.encode_state(samples.state(number=4))
    stores.put(odd_store, 'state', 'state', msgspec.Raw(good))
    client.nursery = nursery
    handlers = client.engine.handlers
    handlers['call_store'] = functools.partial(clients.call, client)
    node = client.engine.world.node
    engines.feed(
        client.engine,
        inp.PeerSeen(node.ref.entry, node.domain, node.address),
    )
    nursery.start_soon(engines.run_timers, client.engine)
    await trio.sleep(3.0)
    stores.put(odd_store, 'state', 'odd', msgspec.Raw(spec))
    before = odd_store.calls['GET state']
    assert before
    await trio.sleep(1.0)
    assert odd_store.calls['GET state'] - before <= 2
    # The watch goes on.
    later = config.encode_state(samples.state(number=5))
    stores.put(odd_store, 'state', 'state', msgspec.Raw(later))
    await trio.sleep(0.3)
    assert client.engine.world.states['in-force'].number == 5
    nursery.cancel_scope.cancel()


ODD_NAMES = [' ', 'a b', 'a\nb', 'a\0', '\u00e9', 'x' * 256]


@pytest.mark.parametrize('name', ODD_NAMES)
def test_a_vm_with_an_odd_name_leaves_the_others_readable(name):
    _, vms = read_list(page(encode(name), encode('e1')))
    names, unreadable = split(vms)
    assert names == ['e1']
    assert len(unreadable) == 1


@pytest.mark.parametrize('name', [*ODD_NAMES, 'a&watch=1', 'a#b', 'a%20b'])
async def test_a_list_is_read_on_after_an_odd_name(nursery, name):
    """The HTTP client raised TypeError for a letter outside ASCII."""
    odd_store = stores.new_store()
    for number in range(499):
        stores.put(odd_store, 'vms', f'\0{number}', {})
    for vm in (name, '\u0101'):
        stores.put(odd_store, 'vms', vm, VM)
    odd_store.objects['vms']['\u0101'] = msgspec.Raw(encode('e9'))
    address = await test_client.serve(nursery, stores.asgi_app(odd_store))
    client = test_client.new_client(nursery, address)
    outcome, _ = await test_client.result(client, store.ListVms())
    assert outcome.next_after == name
    after = store.ListVms(after=outcome.next_after)
    outcome, _ = await test_client.result(client, after)
    assert outcome == store.Listed()
    assert 'e9' in client.engine.world.members
    nursery.cancel_scope.cancel()
