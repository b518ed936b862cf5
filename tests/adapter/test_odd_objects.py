"""Test that an odd object of another writer leaves the others in use."""

import contextlib
import json
import urllib.parse

import msgspec
import pytest
import trio

from adapter import deployments
from adapter import fakes
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_platform import objects
from zinnialead_standins import store as stores

SPEC = deployments.registration('10.128.0.9:8080')
ENTRY_SPEC = {
    'incarnation': 7,
    'zone': 'guj-a',
    'region': 'guj',
    'front': '127.0.0.1:1',
    'peer': '127.0.0.1:2',
    'speed': 0.6,
}
SPECS = {
    'servers': deployments.registration('127.0.0.1:1'),
    'zinnialead-entries': ENTRY_SPEC,
}
SPECS_BY_KIND = {
    store.Kind.UPSTREAMS: SPEC,
    store.Kind.ENTRIES: ENTRY_SPEC,
    store.Kind.DRAINS: {},
    store.Kind.CONFIGURATION: deployments.configuration(),
}
LIST = store.ListKind(store.Kind.UPSTREAMS, None)
WATCH = store.WatchKind(store.Kind.UPSTREAMS, 5, 1_000)
# What JSON decoders can't read, though its quotes and brackets match.
UNREADABLE = {
    'float': b'1e999',
    'integer': b'9' * 5_000,
    'not-utf-8': b'"\xff"',
    'half-of-a-character': b'"\\ud800"',
    'not-a-number': b'NaN',
    'bytes': b'\x00\x80\xfe',
    'nothing': b'',
}
NESTED = {
    'arrays': b'[' * 100_000 + b']' * 100_000,
    'objects': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'mixed': b'[{"a":' * 50_000 + b'1' + b'}]' * 50_000,
    'a-megabyte': b'[' * 500_000 + b']' * 500_000,
}
ADDRESSES = {
    'port-0': '127.0.0.1:0',
    'port-65536': '127.0.0.1:65536',
    'port-99999': '127.0.0.1:99999',
    'port-of-20-digits': '127.0.0.1:' + '9' * 20,
    'port-of-400-digits': '127.0.0.1:' + '9' * 400,
    'negative-port': '127.0.0.1:-80',
    'signed-port': '127.0.0.1:+80',
    'grouped-port': '127.0.0.1:8_0',
    'arabic-digits': '127.0.0.1:\u0668\u0660',
    'superscript-digits': '127.0.0.1:\u00b2',
    'space-after-port': '127.0.0.1:80 ',
    'line-after-port': '127.0.0.1:80\n',
    'no-port': '127.0.0.1:',
    'no-host': ':80',
    'host-name': 'localhost:80',
    'any-host': '0.0.0.0:80',
    'short-host': '127.1:80',
    'large-host': '127.0.0.256:80',
    'host-with-nul': '127.0.0.1\0:80',
    'arabic-host': '127.0.0.\u0661:80',
    'long-label': 'x' * 300 + '.example:80',
    'ip-version-6': '::1:80',
    'brackets': '[::1]:80',
    'url': 'http://127.0.0.1:80',
}
HUGE = [b'1' + b'0' * 30, b'1' + b'0' * 400, b'9223372036854775808']
NO_COUNTS = [*HUGE, b'-1', b'true', b'1.5', b'1e30', b'"5"', b'null']
NO_TIMES = [
    b'"%s"' % x
    for x in (
        b'nans',
        b'infs',
        b'-infms',
        b'-5s',
        b'1e308s',
        b'1e400ms',
        b'86401s',
        b'9' * 400 + b's',
        b's',
        b'5',
    )
]
NO_TIMES += [b'5', b'true', *HUGE]
# Fields of an upstream and of an entry with values out of their ranges.
UPSTREAM_NUMBERS = [
    *(('slots', x) for x in [*NO_COUNTS, b'0', b'10001']),
    *(('born', x) for x in NO_COUNTS),
    *(('cold_left', x) for x in NO_TIMES),
]
ENTRY_NUMBERS = [
    *(('incarnation', x) for x in NO_COUNTS),
    *(
        ('speed', x)
        for x in [*HUGE, b'-1', b'-0.1', b'true', b'"nan"', b'1e308', b'null']
    ),
]
# Paths in a configuration, with values out of their ranges.
CONFIGURATION_NUMBERS = [
    *(
        (path, x)
        for path in (
            'version',
            'limits.max_header_bytes',
            'limits.max_body_bytes',
            'routes.r-1.priority',
            'routes.r-1.max_attempts',
            'services.desk.max_conns',
        )
        for x in NO_COUNTS
    ),
    *(
        (path, x)
        for path in (
            'limits.header_timeout',
            'limits.idle_timeout',
            'routes.r-1.timeout',
            'routes.r-1.target_latency',
            'services.desk.warmup',
        )
        for x in NO_TIMES
    ),
    *(
        (path, x)
        for path in (
            'services.desk.cold_per_s',
            'routes.r-1.weighted_backends.0.weight',
        )
        for x in [*HUGE, b'-1', b'true', b'"nan"', b'"inf"', b'1e308', b'null']
    ),
]
# As JSON; requests carry names in a header and in the path and query.
NO_NAMES = [b'3', b'null', b'true', b'[]', b'["i-1"]', b'{}', b'{"a":1}']
NO_NAMES += [
    json.dumps(x).encode()
    for x in ('', ' ', 'i 1', ' i', 'i\n1', 'i\0', '\u00e9', 'x' * 256)
]


def parametrize(cases):
    return pytest.mark.parametrize('value', cases.values(), ids=cases.keys())


def encode(name, spec=SPEC, rev=3):
    metadata = {'name': name, 'rev': rev}
    return msgspec.json.encode({'metadata': metadata, 'spec': spec})


def encode_odd(value, name='i-odd', rev=4):
    """Return an upstream with a field that holds the given bytes."""
    fields = msgspec.json.encode(SPEC)[1:]
    spec = b'{"sequence":%s,%s' % (value, fields)
    return encode(name, msgspec.Raw(spec), rev)


def list_page(*items, more=b'false'):
    return b'{"items":[%s],"has_more":%s,"current_rev":9}' % (
        b','.join(items),
        more,
    )


def table_page(*items):
    """Return a page in the form of a table with column names."""
    rows = b','.join(
        b'[%s]'
        % item.removeprefix(b'{"metadata":')
        .removesuffix(b'}')
        .replace(b',"spec":', b',', 1)
        for item in items
    )
    table = b'{"columns":["metadata","spec"],"rows":[%s]}' % rows
    return b'{"items":%s,"has_more":false,"current_rev":9}' % table


def watch_page(*items):
    events = b','.join(b'{"deleted":false,"object":%s}' % x for x in items)
    return b'{"events":[%s],"current_rev":9}' % events


PAGES = {'list': (LIST, list_page), 'table': (LIST, table_page)}
PAGES['watch'] = (WATCH, watch_page)


def read(call, body):
    return objects.read_store(call, 200, [], body)


def names(result):
    """Return the upstreams that a result puts in use."""
    return [
        x.row.upstream
        for x in result.items
        if isinstance(x, inp.UpstreamRegistered)
    ]


@pytest.mark.parametrize('position', [0, 1, 2])
@pytest.mark.parametrize('page', PAGES)
@parametrize(UNREADABLE)
def test_an_unreadable_object_leaves_the_others_readable(
    value, page, position
):
    items = [encode('i-1'), encode('i-2')]
    items.insert(position, encode_odd(value))
    call, write = PAGES[page]
    result = read(call, write(*items))
    assert names(result) == ['i-1', 'i-2']
    assert result.revision == 9
    assert result.latest_revision == 4
    (row,) = result.unreadable
    assert (row.name, row.revision) == ('i-odd', 4)
    assert 0 < len(row.reason) <= 200


@pytest.mark.parametrize('position', [0, 1, 2])
@pytest.mark.parametrize('page', PAGES)
@parametrize(NESTED)
def test_a_deeply_nested_object_leaves_the_others_readable(
    value, page, position
):
    """Decoders raise RecursionError, which is no ValueError."""
    items = [encode('i-1'), encode('i-2')]
    items.insert(position, encode('i-odd', msgspec.Raw(value), rev=4))
    call, write = PAGES[page]
    result = read(call, write(*items))
    assert names(result) == ['i-1', 'i-2']
    assert result.latest_revision == 4
    assert [x.name for x in result.unreadable] == ['i-odd']


@pytest.mark.parametrize('field', ['state', 'service', 'addr', 'cold_left'])
@parametrize(NESTED)
def test_a_deeply_nested_field_leaves_the_others_readable(value, field):
    spec = {**SPEC, field: msgspec.Raw(value)}
    result = read(LIST, list_page(encode('i-odd', spec), encode('i-1')))
    assert names(result) == ['i-1']
    (row,) = result.unreadable
    assert len(row.reason) <= 200


@pytest.mark.parametrize('field', ['state', 'service', 'addr', 'cold_left'])
def test_a_field_that_is_just_decodable_is_not_printed_whole(field):
    """A decoder may go one call deeper than the error's text."""
    for depth in range(800, 1_000):
        value = b'[' * depth + b']' * depth
        spec = {**SPEC, field: msgspec.Raw(value)}
        result = read(LIST, list_page(encode('i-odd', spec), encode('i-1')))
        assert names(result) == ['i-1']


@parametrize(NESTED)
def test_deeply_nested_metadata_leaves_the_others_readable(value):
    odd = [b'{"metadata":%s,"spec":{}}' % value, value]
    odd.append(b'{"metadata":{"name":%s,"rev":4},"spec":{}}' % value)
    odd.append(b'{"metadata":{"name":"i-4","rev":%s},"spec":{}}' % value)
    for _, (call, write) in PAGES.items():
        if write is table_page:
            continue
        assert names(read(call, write(*odd, encode('i-1')))) == ['i-1']


@parametrize(NESTED)
def test_an_answer_that_is_deeply_nested_is_a_value_error(value):
    for body in (
        value,
        b'{"items":%s' % value,
        b'{"items":[],"current_rev":%s}' % value,
    ):
        with contextlib.suppress(ValueError):
            read(LIST, body)


@parametrize(NESTED)
def test_a_deeply_nested_conflict_returns_no_registration(value):
    row = entries.EntryRow(
        'edge-1', 7, 'guj-a', 'guj', '10.0.0.1:1', '10.0.0.1:2'
    )
    body = encode('edge-1', msgspec.Raw(value))
    result = objects.read_store(store.RegisterEntry(row), 409, [], body)
    assert result == store.Conflict(None, 3)


@pytest.mark.parametrize(
    'spec', [{}, None, [], 'x', {**ENTRY_SPEC, 'peer': 3}]
)
def test_a_conflict_with_an_unreadable_registration_has_its_revision(spec):
    call = store.RegisterEntry(entries.EntryRow('edge-1', 7, '', '', '', ''))
    for body in (
        encode('edge-1', spec, 31),
        b'{"object":%s}' % encode('edge-1', spec, 31),
    ):
        result = objects.read_store(call, 409, [], body)
        assert result == store.Conflict(None, 31)
    body = encode('edge-1', ENTRY_SPEC, msgspec.Raw(b'1e999'))
    assert objects.read_store(call, 409, [], body) == store.Conflict()


@parametrize(ADDRESSES)
def test_an_address_that_nobody_can_connect_to_names_no_upstream(value):
    odd = encode('i-odd', {**SPEC, 'addr': value})
    for call, write in PAGES.values():
        result = read(call, write(odd, encode('i-1')))
        assert names(result) == ['i-1']
        assert [x.name for x in result.unreadable] == ['i-odd']


@pytest.mark.parametrize('field', ['front', 'peer'])
@parametrize(ADDRESSES)
def test_an_address_that_nobody_can_connect_to_names_no_entry(value, field):
    call = store.ListKind(store.Kind.ENTRIES, None)
    odd = encode('edge-9', {**ENTRY_SPEC, field: value})
    result = read(call, list_page(odd, encode('edge-1', ENTRY_SPEC)))
    assert [x.row.entry for x in result.items] == ['edge-1']
    assert [x.name for x in result.unreadable] == ['edge-9']


@pytest.mark.parametrize(('field', 'value'), UPSTREAM_NUMBERS)
def test_a_number_out_of_range_names_no_upstream(field, value):
    odd = encode('i-odd', {**SPEC, field: msgspec.Raw(value)})
    for call, write in PAGES.values():
        result = read(call, write(odd, encode('i-1')))
        assert names(result) == ['i-1']
        assert [x.name for x in result.unreadable] == ['i-odd']


@pytest.mark.parametrize(('field', 'value'), ENTRY_NUMBERS)
def test_a_number_out_of_range_names_no_entry(field, value):
    call = store.ListKind(store.Kind.ENTRIES, None)
    odd = encode('edge-9', {**ENTRY_SPEC, field: msgspec.Raw(value)})
    result = read(call, list_page(odd, encode('edge-1', ENTRY_SPEC)))
    assert [x.row.entry for x in result.items] == ['edge-1']
    assert [x.name for x in result.unreadable] == ['edge-9']


def read_configuration(path, value):
    """Read a configuration with an odd value at a path."""
    weighted_backends = [{'service': 'desk', 'weight': 1}]
    spec = deployments.configuration(weighted_backends=weighted_backends)
    *parents, last = path.split('.')
    fields = spec
    for name in parents:
        fields = fields[int(name) if name.isdigit() else name]
    fields[last] = msgspec.Raw(value)
    call = store.ListKind(store.Kind.CONFIGURATION, None)
    return read(call, list_page(encode('main', spec)))


@pytest.mark.parametrize(('path', 'value'), CONFIGURATION_NUMBERS)
def test_a_number_out_of_range_makes_no_configuration(path, value):
    result = read_configuration(path, value)
    assert result.items == ()
    assert [x.name for x in result.unreadable] == ['main']


NO_TEXTS = [b'3', b'true', b'null', b'[]', b'["a"]', b'{}', b'{"a":1}', b'""']


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        *(
            (path, x)
            for path in (
                'routes.r-1.host',
                'routes.r-1.path_prefix',
                'routes.r-1.kind',
                'routes.r-1.weighted_backends.0.service',
            )
            for x in NO_TEXTS
        ),
        *(
            ('routes.r-1.home_regions', x)
            for x in (b'"guj"', b'3', b'true', b'{"guj":1}', b'[[]]', b'[3]')
        ),
        *(
            ('routes.r-1.weighted_backends', x)
            for x in (b'3', b'true', b'"x"', b'{"a":1}', b'[3]', b'["x"]')
        ),
        *(
            (path, x)
            for path in ('routes', 'services', 'limits', 'routes.r-1')
            for x in (b'3', b'true', b'null', b'[]', b'[3]', b'"x"')
        ),
    ],
)
def test_a_field_of_another_type_makes_no_configuration(path, value):
    result = read_configuration(path, value)
    assert result.items == ()
    assert [x.name for x in result.unreadable] == ['main']


@pytest.mark.parametrize('value', NO_TEXTS)
def test_a_service_of_another_type_makes_no_configuration(value):
    spec = deployments.configuration(service=msgspec.Raw(value))
    call = store.ListKind(store.Kind.CONFIGURATION, None)
    assert read(call, list_page(encode('main', spec))).items == ()


@pytest.mark.parametrize(
    'value', [*HUGE, b'-1', b'"x"', b'null', b'[]', b'{}', b'1e300']
)
def test_a_revision_out_of_range_names_no_upstream(value):
    odd = encode('i-odd', rev=msgspec.Raw(value))
    for call, write in PAGES.values():
        result = read(call, write(odd, encode('i-1')))
        assert names(result) == ['i-1']
        assert result.unreadable[0][:2] == ('i-odd', 0)
        assert result.latest_revision == 3


@pytest.mark.parametrize('value', [*HUGE, b'-1'])
def test_an_answer_with_a_revision_out_of_range_is_an_error(value):
    for call, write in PAGES.values():
        body = write(encode('i-1')).replace(b':9}', b':%s}' % value)
        with pytest.raises(ValueError):
            read(call, body)


@pytest.mark.parametrize('kind', store.Kind)
@pytest.mark.parametrize('value', NO_NAMES)
def test_an_object_with_an_odd_name_leaves_the_others_readable(value, kind):
    odd = b'{"metadata":{"name":%s,"rev":4},"spec":%s}' % (
        value,
        json.dumps(SPECS_BY_KIND[kind]).encode(),
    )
    good = encode('good', SPECS_BY_KIND[kind])
    removal = b'{"deleted":true,"object":%s}'
    list_call = store.ListKind(kind, None)
    watch_call = store.WatchKind(kind, 5, 1_000)
    for call, body in (
        (list_call, list_page(odd, good)),
        (watch_call, watch_page(odd, good)),
        (watch_call, b'{"events":[%s],"current_rev":9}' % (removal % odd)),
    ):
        result = read(call, body)
        (row,) = result.unreadable
        assert len(row.name) <= 256
        assert len(result.items) == body.count(b'"good"')


@pytest.mark.parametrize('field', ['service', 'zone'])
@pytest.mark.parametrize(
    'value', [b'3', b'null', b'[]', b'{}', b'""', b'"%s"' % (b'x' * 20_000)]
)
def test_an_upstream_of_an_odd_service_or_zone_is_not_used(value, field):
    odd = encode('i-odd', {**SPEC, field: msgspec.Raw(value)})
    assert names(read(LIST, list_page(odd, encode('i-1')))) == ['i-1']


@pytest.mark.parametrize(
    'name',
    ['a b', 'a\nb', 'a&watch=1', 'a#b', 'a%20b', 'a+b', '\u00e9', '../x'],
)
def test_a_list_continues_after_any_name(name):
    call = store.ListKind(store.Kind.UPSTREAMS, name)
    target = objects.write_store(call).target.decode('ascii')
    path, _, query = target.partition('?')
    assert path == '/objects/servers'
    assert urllib.parse.parse_qsl(query) == [('after', name)]
    # The HTTP client raises an error for any other character.
    assert all('!' <= x <= '~' for x in target)


def test_a_removal_can_concern_no_other_object():
    row = entries.EntryRow('../servers/i-1?', 1, '', '', '', '', 3)
    request = objects.write_store(store.RemoveEntry(row))
    assert request.target == (
        b'/objects/zinnialead-entries/..%2Fservers%2Fi-1%3F?rev=3'
    )


# In place of an item, its metadata or its name.
NO_OBJECTS = [b'null', b'3', b'"x"', b'[]', b'{}', b'[{}]', b'1e999']
NO_OBJECTS += [
    b'{"metadata":%s,"spec":{}}' % x
    for x in (b'null', b'3', b'[]', b'{}', b'1e999', b'{"name":3,"rev":4}')
]


@pytest.mark.parametrize('position', [0, 1, 2])
@pytest.mark.parametrize('page', ['list', 'watch'])
@pytest.mark.parametrize('value', NO_OBJECTS)
def test_an_item_that_is_no_object_leaves_the_others_readable(
    value, page, position
):
    items = [encode('i-1'), encode('i-2')]
    items.insert(position, value)
    call, write = PAGES[page]
    result = read(call, write(*items))
    assert names(result) == ['i-1', 'i-2']
    assert [x.name for x in result.unreadable] == ['']


@pytest.mark.parametrize('event', [b'null', b'[]', b'{}', b'{"deleted":3}'])
def test_an_event_without_an_object_leaves_the_others_readable(event):
    page = b'{"events":[%s,{"deleted":false,"object":%s}],"current_rev":9}'
    assert names(read(WATCH, page % (event, encode('i-1')))) == ['i-1']


@pytest.mark.parametrize('row', [b'null', b'[]', b'[1,2,3]', b'[NaN]', b'{}'])
def test_an_odd_row_of_a_table_leaves_the_others_readable(row):
    page = table_page(encode('i-1')).replace(b'"rows":[', b'"rows":[%s,' % row)
    assert names(read(LIST, page)) == ['i-1']


@pytest.mark.parametrize('odd', [*NO_OBJECTS, encode_odd(b'1e999', 'i-3')])
def test_a_list_continues_after_an_odd_last_item(odd):
    page = list_page(encode('i-2'), odd, more=b'true')
    named = b'"i-3"' in odd
    assert read(LIST, page).next_after == ('i-3' if named else 'i-2')


def test_a_list_that_could_not_continue_is_an_error():
    """Taken as the last page it would remove all upstreams after it."""
    with pytest.raises(ValueError, match='name'):
        read(LIST, list_page(b'1e999', b'{}', more=b'true'))


def test_an_upstream_that_becomes_unreadable_is_removed_as_by_a_list():
    events = (
        encode('i-1'),
        encode_odd(b'1e999', 'i-2'),
        encode_odd(b'1e999', 'i-1'),
        encode('i-1', rev=6),
    )
    result = read(WATCH, watch_page(*events))
    removed = [
        x.upstream
        for x in result.items
        if isinstance(x, inp.UpstreamDeregistered)
    ]
    assert removed == ['i-2', 'i-1']
    # The last change counts.
    assert result.items[-1].row.revision == 6


def test_an_unreadable_configuration_removes_nothing():
    kind = store.Kind.CONFIGURATION
    odd = encode('main', msgspec.Raw(b'{"version":1e999}'))
    for call, page in (
        (store.ListKind(kind, None), list_page(odd)),
        (store.WatchKind(kind, 5, 1_000), watch_page(odd)),
    ):
        result = read(call, page)
        assert result.items == ()
        assert [x.name for x in result.unreadable] == ['main']


def test_a_drain_with_an_unreadable_spec_is_in_force():
    kind = store.Kind.DRAINS
    odd = encode('guj-a', msgspec.Raw(b'1e999'))
    for call, page in (
        (store.ListKind(kind, None), list_page(odd)),
        (store.WatchKind(kind, 5, 1_000), watch_page(odd)),
    ):
        assert read(call, page).items == (inp.DrainAdded('guj-a'),)


def put_raw(odd_store, name, value, kind='servers'):
    """Write an object whose spec consists of the given bytes."""
    stores.put(odd_store, kind, name, msgspec.Raw(value))


async def count_calls(odd_store, kind, seconds=1.0):
    before = odd_store.calls[f'GET {kind}']
    await trio.sleep(seconds)
    return odd_store.calls[f'GET {kind}'] - before


async def check_follows(odd_store, settings):
    """Check that requests are served and that changes take effect."""
    answer = await deployments.ask(settings.front_bind)
    assert answer.status == 200
    version = odd_store.revision + 1
    configuration = deployments.configuration(version, path_prefix='/new/')
    stores.put(odd_store, 'config', 'main', configuration)
    await deployments.until_served(settings, b'/new/1')
    answer = await deployments.ask(settings.directory_bind, target=b'/resolve')
    assert settings.front_bind.encode() in answer.body
    page = await deployments.ask(settings.metrics_bind, target=b'/v1/dump')
    return msgspec.json.decode(page.body)


async def odd_deployment(nursery, kind, value):
    """Start an entry on a store with an odd object before all others."""
    odd_store = stores.new_store()
    put_raw(odd_store, '0-odd', value, kind)
    stores.put(odd_store, 'config', 'main', deployments.configuration())
    upstream = fakes.FakeUpstream('i-0')
    address = await fakes.serve_upstream(nursery, upstream)
    registration = deployments.registration(address)
    stores.put(odd_store, 'servers', 'i-0', registration)
    settings = await deployments.entry(
        nursery, await fakes.serve_store(nursery, odd_store)
    )
    await deployments.until_ready(settings)
    return odd_store, settings


async def odd_fields_deployment(nursery, kind, fields):
    """Start an entry on a store with a registration with odd fields."""
    spec = {**SPECS[kind], **fields}
    return await odd_deployment(nursery, kind, msgspec.json.encode(spec))


async def check_odd_registration(nursery, kind, fields):
    """Check that an odd registration leaves an entry and its peers at work.

    Requests for many objects would reach each registered upstream.
    """
    odd_store, settings = await odd_fields_deployment(nursery, kind, fields)
    for number in range(20):
        target = f'/desk/{number}'.encode()
        answer = await deployments.ask(settings.front_bind, target=target)
        assert answer.status == 200
    # Heartbeats are sent each second.
    await trio.sleep(1.2)
    dump = await check_follows(odd_store, settings)
    assert [x['upstream'] for x in dump['upstreams']] == ['i-0']
    assert [x['entry'] for x in dump['entries']] == ['edge-1']
    assert dump['counters'][f'store.unreadable.{NAMES[kind]}'] == 1


NAMES = {'servers': 'upstreams', 'zinnialead-entries': 'entries'}
KINDS_BY_NAME = {name: kind for kind, name in objects.KINDS.items()}
KINDS = ['servers', 'config', 'evacuations', 'zinnialead-entries']


@pytest.mark.parametrize('kind', KINDS)
@parametrize(UNREADABLE)
async def test_an_entry_follows_a_store_with_an_unreadable_object(
    nursery, value, kind
):
    odd_store, settings = await odd_deployment(
        nursery, kind, b'{"slots":%s}' % value
    )
    dump = await check_follows(odd_store, settings)
    assert [x['upstream'] for x in dump['upstreams']] == ['i-0']
    assert await count_calls(odd_store, kind) <= 2


@pytest.mark.parametrize('kind', KINDS)
@parametrize(NESTED)
async def test_an_entry_follows_a_store_with_a_deeply_nested_object(
    nursery, value, kind
):
    odd_store, settings = await odd_deployment(nursery, kind, value)
    dump = await check_follows(odd_store, settings)
    assert [x['upstream'] for x in dump['upstreams']] == ['i-0']
    assert await count_calls(odd_store, kind) <= 2


@pytest.mark.parametrize('kind', KINDS)
async def test_a_deeply_nested_object_does_not_end_a_watch(nursery, kind):
    odd_store, _, settings, _ = await deployments.deployment(nursery)
    put_raw(odd_store, 'i-odd', NESTED['mixed'], kind)
    dump = await check_follows(odd_store, settings)
    assert len(dump['upstreams']) == 2
    assert await count_calls(odd_store, kind) <= 2


@pytest.mark.parametrize('port', ['99999', '9' * 20])
@pytest.mark.parametrize(
    ('kind', 'field'),
    [
        ('servers', 'addr'),
        ('zinnialead-entries', 'peer'),
        ('zinnialead-entries', 'front'),
    ],
)
async def test_an_entry_works_beside_a_port_out_of_range(
    nursery, kind, field, port
):
    fields = {field: f'127.0.0.1:{port}'}
    await check_odd_registration(nursery, kind, fields)


@pytest.mark.parametrize('value', [HUGE[0], HUGE[1], b'"infs"', b'"nans"'])
@pytest.mark.parametrize(
    ('kind', 'field'),
    [
        ('servers', 'slots'),
        ('servers', 'born'),
        ('servers', 'cold_left'),
        ('zinnialead-entries', 'incarnation'),
        ('zinnialead-entries', 'speed'),
    ],
)
async def test_an_entry_works_beside_a_number_out_of_range(
    nursery, kind, field, value
):
    fields = {field: msgspec.Raw(value)}
    await check_odd_registration(nursery, kind, fields)


@pytest.mark.parametrize(
    ('kind', 'field'),
    [('servers', 'born'), ('zinnialead-entries', 'incarnation')],
)
async def test_a_number_out_of_range_is_not_sent_to_other_entries(
    nursery, kind, field
):
    """Integers over 64 bits ended an entry that sent its changes."""
    odd_store, _, settings, address = await deployments.deployment(nursery)
    seed = settings.snapshot_binds[1]
    other = await deployments.entry(nursery, address, 'edge-2', f'"{seed}"')
    await deployments.until_ready(other)
    spec = {**SPECS[kind], field: 10**30}
    put_raw(odd_store, 'z-odd', json.dumps(spec).encode(), kind)
    await trio.sleep(1.0)
    await check_follows(odd_store, settings)
    await deployments.until_served(other, b'/new/1')


@pytest.mark.parametrize('value', HUGE)
@pytest.mark.parametrize('field', ['warmup', 'cold_per_s', 'max_conns'])
async def test_an_entry_keeps_its_configuration_beside_an_odd_one(
    nursery, field, value
):
    odd_store, _, settings, _ = await deployments.deployment(nursery)
    spec = deployments.configuration(2, path_prefix='/odd/')
    spec['services']['desk'][field] = msgspec.Raw(value)
    stores.put(odd_store, 'config', 'main', spec)
    await trio.sleep(0.5)
    await check_follows(odd_store, settings)


@pytest.mark.parametrize('value', [b'["x"]', b'{}', b'"i\\n1"', b'" i"'])
@pytest.mark.parametrize('kind', KINDS)
async def test_an_entry_follows_a_store_with_an_odd_name(nursery, kind, value):
    odd_store, upstreams, settings, _ = await deployments.deployment(nursery)
    spec = SPECS_BY_KIND[KINDS_BY_NAME[kind]]
    if kind == 'servers':
        # An address that takes requests.
        spec = odd_store.objects[kind][upstreams[0].instance]['spec']
    odd_store.objects[kind]['odd'] = msgspec.Raw(
        b'{"metadata":{"name":%s,"rev":7},"spec":%s}'
        % (value, json.dumps(spec).encode())
    )
    stores.forget_before(odd_store, odd_store.revision + 1)
    odd_store.revision += 1
    await trio.sleep(0.5)
    for number in range(20):
        target = f'/desk/{number}'.encode()
        answer = await deployments.ask(settings.front_bind, target=target)
        assert answer.status == 200
    dump = await check_follows(odd_store, settings)
    assert len(dump['upstreams']) == 2
    assert not dump['drained']


async def test_an_entry_reads_on_after_an_odd_name_at_the_end_of_a_page(
    nursery,
):
    odd_store = stores.new_store()
    for number in range(499):
        put_raw(odd_store, f'a-{number}', b'{}')
    put_raw(odd_store, 'b \n#&\u00e9', b'{}')
    stores.put(odd_store, 'config', 'main', deployments.configuration())
    upstream = fakes.FakeUpstream('i-0')
    address = await fakes.serve_upstream(nursery, upstream)
    registration = deployments.registration(address)
    stores.put(odd_store, 'servers', 'i-0', registration)
    settings = await deployments.entry(
        nursery, await fakes.serve_store(nursery, odd_store)
    )
    await deployments.until_ready(settings)
    dump = await check_follows(odd_store, settings)
    assert [x['upstream'] for x in dump['upstreams']] == ['i-0']


@pytest.mark.parametrize(
    'value', [b'{}', b'null', b'{"speed":1e999}', NESTED['arrays']]
)
async def test_an_entry_replaces_its_registration_if_it_is_unreadable(
    nursery, value
):
    odd_store, _, settings, _ = await deployments.deployment(nursery)
    kind = 'zinnialead-entries'
    await trio.sleep(0.5)
    before = odd_store.calls.copy()
    put_raw(odd_store, 'edge-1', value, kind)
    # The entries are watched with a pause of 5 s.
    await trio.sleep(7.0)
    assert odd_store.objects[kind]['edge-1']['spec']['zone'] == 'guj-a'
    calls = odd_store.calls - before
    assert calls[f'POST {kind}'] + calls[f'PUT {kind}'] <= 3
    await check_follows(odd_store, settings)


async def test_a_starting_entry_replaces_an_unreadable_registration(nursery):
    """It tried to create its own twice a second, without end."""
    odd_store = stores.new_store()
    kind = 'zinnialead-entries'
    put_raw(odd_store, 'edge-1', b'{}', kind)
    address = await fakes.serve_store(nursery, odd_store)
    await deployments.entry(nursery, address)
    await trio.sleep(3.0)
    calls = odd_store.calls
    assert calls[f'POST {kind}'] + calls[f'PUT {kind}'] <= 3
    assert odd_store.objects[kind]['edge-1']['spec']['zone'] == 'guj-a'


@pytest.mark.parametrize('kind', KINDS)
async def test_an_unreadable_object_does_not_end_a_watch(nursery, kind):
    odd_store, _, settings, _ = await deployments.deployment(nursery)
    put_raw(odd_store, 'i-odd', b'1e999', kind)
    dump = await check_follows(odd_store, settings)
    assert len(dump['upstreams']) == 2
    assert await count_calls(odd_store, kind) <= 2
