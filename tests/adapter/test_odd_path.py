"""Test a complete entry over loopback beside odd objects in its store."""

import json

import msgspec
import pytest
import trio

from adapter import deployments
from adapter import fakes
from adapter import odd_objects as odd
from zinnialead_platform import objects
from zinnialead_standins import store as stores

ENTRIES = 'zinnialead-entries'
KINDS = {name: kind for kind, name in objects.KINDS.items()}


def put_raw(odd_store, kind, name, value):
    """Write an object whose spec consists of the given bytes."""
    stores.put(odd_store, kind, name, msgspec.Raw(value))


def put_odd_fields(odd_store, kind, values):
    """Write an object for each pair of a field and its encoded value."""
    for number, (field, value) in enumerate(values):
        spec = {**odd.SPECS_BY_KIND[KINDS[kind]], field: msgspec.Raw(value)}
        put_raw(odd_store, kind, f'0-{number}', msgspec.json.encode(spec))


async def start(nursery, odd_store):
    """Start an entry with one upstream on a store; return its settings."""
    stores.put(odd_store, 'config', 'main', deployments.configuration())
    upstream = fakes.FakeUpstream('i-0')
    address = await fakes.serve_upstream(nursery, upstream)
    registration = deployments.registration(address)
    stores.put(odd_store, 'servers', 'i-0', registration)
    settings = await deployments.entry(
        nursery, await fakes.serve_store(nursery, odd_store)
    )
    await deployments.until_ready(settings)
    return settings


async def check_follows(odd_store, settings):
    """Check that requests are served and that changes take effect.

    Requests for many objects would reach each registered upstream.
    """
    for number in range(20):
        target = f'/desk/{number}'.encode()
        answer = await deployments.ask(settings.front_bind, target=target)
        assert answer.status == 200
    version = odd_store.revision + 1
    configuration = deployments.configuration(version, path_prefix='/new/')
    stores.put(odd_store, 'config', 'main', configuration)
    await deployments.until_served(settings, b'/new/1')
    answer = await deployments.ask(settings.directory_bind, target=b'/resolve')
    assert settings.front_bind.encode() in answer.body
    page = await deployments.ask(settings.metrics_bind, target=b'/v1/dump')
    return msgspec.json.decode(page.body)


async def check_watches(odd_store, seconds=1.0):
    """Check that no kind is read again and again."""
    before = odd_store.calls.copy()
    await trio.sleep(seconds)
    for kind in KINDS:
        assert odd_store.calls[f'GET {kind}'] - before[f'GET {kind}'] <= 2


@odd.parametrize({**odd.UNREADABLE, **odd.NESTED})
async def test_an_entry_follows_a_store_with_unreadable_objects(
    nursery, value
):
    odd_store = stores.new_store()
    for kind in KINDS:
        put_raw(odd_store, kind, '0-odd', b'{"slots":%s}' % value)
    settings = await start(nursery, odd_store)
    dump = await check_follows(odd_store, settings)
    assert [x['upstream'] for x in dump['upstreams']] == ['i-0']
    assert [x['entry'] for x in dump['entries']] == ['edge-1']
    for kind in ('upstreams', 'entries', 'configuration'):
        assert dump['counters'][f'store.unreadable.{kind}'] == 1
    await check_watches(odd_store)


@pytest.mark.parametrize(
    'value', [b'1e999', odd.NESTED['mixed']], ids=['float', 'nested']
)
async def test_unreadable_objects_do_not_end_a_watch(nursery, value):
    odd_store, _, settings, _ = await deployments.deployment(nursery)
    for kind in KINDS:
        put_raw(odd_store, kind, 'i-odd', value)
    dump = await check_follows(odd_store, settings)
    assert len(dump['upstreams']) == 2
    await check_watches(odd_store)


ODD_FIELDS = {
    'servers': [
        *(
            ('addr', b'"127.0.0.1:%s"' % port)
            for port in (b'0', b'65536', b'99999', b'9' * 20)
        ),
        *odd.UPSTREAM_NUMBERS,
    ],
    ENTRIES: [
        *(
            (field, b'"127.0.0.1:%s"' % port)
            for field in ('peer', 'front')
            for port in (b'0', b'65536', b'99999', b'9' * 20)
        ),
        *odd.ENTRY_NUMBERS,
    ],
}


@pytest.mark.parametrize('kind', ODD_FIELDS)
async def test_an_entry_works_beside_fields_out_of_range(nursery, kind):
    """Ports and numbers raised OverflowError where they were used."""
    odd_store = stores.new_store()
    put_odd_fields(odd_store, kind, ODD_FIELDS[kind])
    settings = await start(nursery, odd_store)
    # Heartbeats are sent each second.
    await trio.sleep(1.2)
    dump = await check_follows(odd_store, settings)
    assert [x['upstream'] for x in dump['upstreams']] == ['i-0']
    assert [x['entry'] for x in dump['entries']] == ['edge-1']
    counter = f'store.unreadable.{KINDS[kind].value}'
    assert dump['counters'][counter] == len(ODD_FIELDS[kind])


@pytest.mark.parametrize('kind', ODD_FIELDS)
async def test_fields_out_of_range_are_not_sent_to_other_entries(
    nursery, kind
):
    """Integers over 64 bits ended an entry that sent its changes."""
    odd_store, _, settings, address = await deployments.deployment(nursery)
    seed = settings.snapshot_binds[1]
    other = await deployments.entry(nursery, address, 'edge-2', f'"{seed}"')
    await deployments.until_ready(other)
    put_odd_fields(odd_store, kind, ODD_FIELDS[kind])
    await trio.sleep(1.0)
    await check_follows(odd_store, settings)
    await deployments.until_served(other, b'/new/1')


async def test_an_entry_keeps_its_configuration_beside_odd_ones(nursery):
    odd_store, _, settings, _ = await deployments.deployment(nursery)
    for number, value in enumerate(odd.HUGE):
        for field in ('warmup', 'cold_per_s', 'max_conns'):
            spec = deployments.configuration(2, path_prefix='/odd/')
            spec['services']['desk'][field] = msgspec.Raw(value)
            stores.put(odd_store, 'config', f'{field}-{number}', spec)
    await trio.sleep(0.5)
    await check_follows(odd_store, settings)


@pytest.mark.parametrize('value', [b'["x"]', b'{}', b'"i\\n1"', b'" i"'])
async def test_an_entry_follows_a_store_with_odd_names(nursery, value):
    odd_store, _, settings, _ = await deployments.deployment(nursery)
    for kind in KINDS:
        spec = odd.SPECS_BY_KIND[KINDS[kind]]
        if kind == 'servers':
            # An address that takes requests.
            spec = odd_store.objects[kind]['i-0']['spec']
        odd_store.objects[kind]['odd'] = msgspec.Raw(
            b'{"metadata":{"name":%s,"rev":7},"spec":%s}'
            % (value, json.dumps(spec).encode())
        )
    # Lists follow.
    stores.forget_before(odd_store, odd_store.revision + 1)
    odd_store.revision += 1
    await trio.sleep(0.5)
    dump = await check_follows(odd_store, settings)
    assert len(dump['upstreams']) == 2
    assert not dump['drained']


async def test_an_entry_reads_on_after_an_odd_name_at_the_end_of_a_page(
    nursery,
):
    odd_store = stores.new_store()
    for number in range(499):
        put_raw(odd_store, 'servers', f'a-{number}', b'{}')
    put_raw(odd_store, 'servers', 'b \n#&\u00e9', b'{}')
    settings = await start(nursery, odd_store)
    dump = await check_follows(odd_store, settings)
    assert [x['upstream'] for x in dump['upstreams']] == ['i-0']


async def check_replaces(nursery, value):
    odd_store, _, settings, _ = await deployments.deployment(nursery)
    await trio.sleep(0.5)
    before = odd_store.calls.copy()
    put_raw(odd_store, ENTRIES, 'edge-1', value)
    # The entries are watched with a pause of 5 s.
    await trio.sleep(7.0)
    assert odd_store.objects[ENTRIES]['edge-1']['spec']['zone'] == 'guj-a'
    calls = odd_store.calls - before
    assert calls[f'POST {ENTRIES}'] + calls[f'PUT {ENTRIES}'] <= 3
    await check_follows(odd_store, settings)


async def test_an_entry_replaces_its_registration_if_it_is_unreadable(
    nursery,
):
    values = [b'{}', b'null', b'{"speed":1e999}', odd.NESTED['arrays']]
    async with trio.open_nursery() as checks:
        for value in values:
            checks.start_soon(check_replaces, nursery, value)


async def test_a_starting_entry_replaces_an_unreadable_registration(nursery):
    """It tried to create its own twice a second, without end."""
    odd_store = stores.new_store()
    put_raw(odd_store, ENTRIES, 'edge-1', b'{}')
    address = await fakes.serve_store(nursery, odd_store)
    await deployments.entry(nursery, address)
    await trio.sleep(3.0)
    calls = odd_store.calls
    assert calls[f'POST {ENTRIES}'] + calls[f'PUT {ENTRIES}'] <= 3
    assert odd_store.objects[ENTRIES]['edge-1']['spec']['zone'] == 'guj-a'
