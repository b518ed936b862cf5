"""Test that an odd object of another writer leaves the others readable."""

import contextlib
import json
import urllib.parse

import msgspec
import pytest

from adapter import deployments
from adapter import odd_objects as odd
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_platform import objects


@pytest.mark.parametrize('position', [0, 1, 2])
@pytest.mark.parametrize('page', odd.PAGES)
@odd.parametrize(odd.UNREADABLE)
def test_an_unreadable_object_leaves_the_others_readable(
    value, page, position
):
    items = [odd.encode('i-1'), odd.encode('i-2')]
    items.insert(position, odd.encode_odd(value))
    call, write = odd.PAGES[page]
    result = odd.read(call, write(*items))
    assert odd.names(result) == ['i-1', 'i-2']
    assert result.revision == 9
    assert result.latest_revision == 4
    (row,) = result.unreadable
    assert (row.name, row.revision) == ('i-odd', 4)
    assert 0 < len(row.reason) <= 200


@pytest.mark.parametrize('position', [0, 1, 2])
@pytest.mark.parametrize('page', odd.PAGES)
@odd.parametrize(odd.NESTED)
def test_a_deeply_nested_object_leaves_the_others_readable(
    value, page, position
):
    """Decoders raise RecursionError, which is no ValueError."""
    items = [odd.encode('i-1'), odd.encode('i-2')]
    items.insert(position, odd.encode('i-odd', msgspec.Raw(value), rev=4))
    call, write = odd.PAGES[page]
    result = odd.read(call, write(*items))
    assert odd.names(result) == ['i-1', 'i-2']
    assert result.latest_revision == 4
    assert [x.name for x in result.unreadable] == ['i-odd']


@pytest.mark.parametrize('field', ['state', 'service', 'addr', 'cold_left'])
@odd.parametrize(odd.NESTED)
def test_a_deeply_nested_field_leaves_the_others_readable(value, field):
    spec = {**odd.SPEC, field: msgspec.Raw(value)}
    result = odd.read(
        odd.LIST, odd.list_page(odd.encode('i-odd', spec), odd.encode('i-1'))
    )
    assert odd.names(result) == ['i-1']
    (row,) = result.unreadable
    assert len(row.reason) <= 200


@pytest.mark.parametrize('field', ['state', 'service', 'addr', 'cold_left'])
def test_a_field_that_is_just_decodable_is_not_printed_whole(field):
    """A decoder may go one call deeper than the error's text."""
    for depth in range(800, 1_000):
        value = b'[' * depth + b']' * depth
        spec = {**odd.SPEC, field: msgspec.Raw(value)}
        result = odd.read(
            odd.LIST,
            odd.list_page(odd.encode('i-odd', spec), odd.encode('i-1')),
        )
        assert odd.names(result) == ['i-1']


@odd.parametrize(odd.NESTED)
def test_deeply_nested_metadata_leaves_the_others_readable(value):
    changed = [b'{"metadata":%s,"spec":{}}' % value, value]
    changed.append(b'{"metadata":{"name":%s,"rev":4},"spec":{}}' % value)
    changed.append(b'{"metadata":{"name":"i-4","rev":%s},"spec":{}}' % value)
    for page in ('list', 'watch'):
        call, write = odd.PAGES[page]
        result = odd.read(call, write(*changed, odd.encode('i-1')))
        assert odd.names(result) == ['i-1']


@odd.parametrize(odd.NESTED)
def test_an_answer_that_is_deeply_nested_is_a_value_error(value):
    for body in (
        value,
        b'{"items":%s' % value,
        b'{"items":[],"current_rev":%s}' % value,
    ):
        with contextlib.suppress(ValueError):
            odd.read(odd.LIST, body)


@odd.parametrize(odd.NESTED)
def test_a_deeply_nested_conflict_returns_no_registration(value):
    row = entries.EntryRow(
        'edge-1', 7, 'guj-a', 'guj', '10.0.0.1:1', '10.0.0.1:2'
    )
    body = odd.encode('edge-1', msgspec.Raw(value))
    result = objects.read_store(store.RegisterEntry(row), 409, [], body)
    assert result == store.Conflict(None, 3)


@pytest.mark.parametrize(
    'spec', [{}, None, [], 'x', {**odd.ENTRY_SPEC, 'peer': 3}]
)
def test_a_conflict_with_an_unreadable_registration_has_its_revision(spec):
    call = store.RegisterEntry(entries.EntryRow('edge-1', 7, '', '', '', ''))
    for body in (
        odd.encode('edge-1', spec, 31),
        b'{"object":%s}' % odd.encode('edge-1', spec, 31),
    ):
        result = objects.read_store(call, 409, [], body)
        assert result == store.Conflict(None, 31)
    body = odd.encode('edge-1', odd.ENTRY_SPEC, msgspec.Raw(b'1e999'))
    assert objects.read_store(call, 409, [], body) == store.Conflict()


@odd.parametrize(odd.ADDRESSES)
def test_an_address_that_nobody_can_connect_to_names_no_upstream(value):
    item = odd.encode('i-odd', {**odd.SPEC, 'addr': value})
    for call, write in odd.PAGES.values():
        result = odd.read(call, write(item, odd.encode('i-1')))
        assert odd.names(result) == ['i-1']
        assert [x.name for x in result.unreadable] == ['i-odd']


@pytest.mark.parametrize('field', ['front', 'peer'])
@odd.parametrize(odd.ADDRESSES)
def test_an_address_that_nobody_can_connect_to_names_no_entry(value, field):
    call = store.ListKind(store.Kind.ENTRIES, None)
    item = odd.encode('edge-9', {**odd.ENTRY_SPEC, field: value})
    result = odd.read(
        call, odd.list_page(item, odd.encode('edge-1', odd.ENTRY_SPEC))
    )
    assert [x.row.entry for x in result.items] == ['edge-1']
    assert [x.name for x in result.unreadable] == ['edge-9']


@pytest.mark.parametrize(('field', 'value'), odd.UPSTREAM_NUMBERS)
def test_a_number_out_of_range_names_no_upstream(field, value):
    item = odd.encode('i-odd', {**odd.SPEC, field: msgspec.Raw(value)})
    for call, write in odd.PAGES.values():
        result = odd.read(call, write(item, odd.encode('i-1')))
        assert odd.names(result) == ['i-1']
        assert [x.name for x in result.unreadable] == ['i-odd']


@pytest.mark.parametrize(('field', 'value'), odd.ENTRY_NUMBERS)
def test_a_number_out_of_range_names_no_entry(field, value):
    call = store.ListKind(store.Kind.ENTRIES, None)
    item = odd.encode('edge-9', {**odd.ENTRY_SPEC, field: msgspec.Raw(value)})
    result = odd.read(
        call, odd.list_page(item, odd.encode('edge-1', odd.ENTRY_SPEC))
    )
    assert [x.row.entry for x in result.items] == ['edge-1']
    assert [x.name for x in result.unreadable] == ['edge-9']


def read_configuration(path, value):
    """Read a configuration with an item value at a path."""
    weighted_backends = [{'service': 'desk', 'weight': 1}]
    spec = deployments.configuration(weighted_backends=weighted_backends)
    *parents, last = path.split('.')
    fields = spec
    for name in parents:
        fields = fields[int(name) if name.isdigit() else name]
    fields[last] = msgspec.Raw(value)
    call = store.ListKind(store.Kind.CONFIGURATION, None)
    return odd.read(call, odd.list_page(odd.encode('main', spec)))


@pytest.mark.parametrize(('path', 'value'), odd.CONFIGURATION_NUMBERS)
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
    assert odd.read(call, odd.list_page(odd.encode('main', spec))).items == ()


@pytest.mark.parametrize(
    'value', [*odd.HUGE, b'-1', b'"x"', b'null', b'[]', b'{}', b'1e300']
)
def test_a_revision_out_of_range_names_no_upstream(value):
    item = odd.encode('i-odd', rev=msgspec.Raw(value))
    for call, write in odd.PAGES.values():
        result = odd.read(call, write(item, odd.encode('i-1')))
        assert odd.names(result) == ['i-1']
        assert result.unreadable[0][:2] == ('i-odd', 0)
        assert result.latest_revision == 3


@pytest.mark.parametrize('value', [*odd.HUGE, b'-1'])
def test_an_answer_with_a_revision_out_of_range_is_an_error(value):
    for call, write in odd.PAGES.values():
        body = write(odd.encode('i-1')).replace(b':9}', b':%s}' % value)
        with pytest.raises(ValueError):
            odd.read(call, body)


@pytest.mark.parametrize('kind', store.Kind)
@pytest.mark.parametrize('value', odd.NO_NAMES)
def test_an_object_with_an_odd_name_leaves_the_others_readable(value, kind):
    item = b'{"metadata":{"name":%s,"rev":4},"spec":%s}' % (
        value,
        json.dumps(odd.SPECS_BY_KIND[kind]).encode(),
    )
    good = odd.encode('good', odd.SPECS_BY_KIND[kind])
    removal = b'{"deleted":true,"object":%s}'
    list_call = store.ListKind(kind, None)
    watch_call = store.WatchKind(kind, 5, 1_000)
    for call, body in (
        (list_call, odd.list_page(item, good)),
        (watch_call, odd.watch_page(item, good)),
        (watch_call, b'{"events":[%s],"current_rev":9}' % (removal % item)),
    ):
        result = odd.read(call, body)
        (row,) = result.unreadable
        assert len(row.name) <= 256
        assert len(result.items) == body.count(b'"good"')


@pytest.mark.parametrize('field', ['service', 'zone'])
@pytest.mark.parametrize(
    'value', [b'3', b'null', b'[]', b'{}', b'""', b'"%s"' % (b'x' * 20_000)]
)
def test_an_upstream_of_an_odd_service_or_zone_is_not_used(value, field):
    item = odd.encode('i-odd', {**odd.SPEC, field: msgspec.Raw(value)})
    assert odd.names(
        odd.read(odd.LIST, odd.list_page(item, odd.encode('i-1')))
    ) == ['i-1']


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
    items = [odd.encode('i-1'), odd.encode('i-2')]
    items.insert(position, value)
    call, write = odd.PAGES[page]
    result = odd.read(call, write(*items))
    assert odd.names(result) == ['i-1', 'i-2']
    assert [x.name for x in result.unreadable] == ['']


@pytest.mark.parametrize('event', [b'null', b'[]', b'{}', b'{"deleted":3}'])
def test_an_event_without_an_object_leaves_the_others_readable(event):
    page = b'{"events":[%s,{"deleted":false,"object":%s}],"current_rev":9}'
    assert odd.names(
        odd.read(odd.WATCH, page % (event, odd.encode('i-1')))
    ) == ['i-1']


@pytest.mark.parametrize('row', [b'null', b'[]', b'[1,2,3]', b'[NaN]', b'{}'])
def test_an_odd_row_of_a_table_leaves_the_others_readable(row):
    page = odd.table_page(odd.encode('i-1')).replace(
        b'"rows":[', b'"rows":[%s,' % row
    )
    assert odd.names(odd.read(odd.LIST, page)) == ['i-1']


@pytest.mark.parametrize(
    'item', [*NO_OBJECTS, odd.encode_odd(b'1e999', 'i-3')]
)
def test_a_list_continues_after_an_odd_last_item(item):
    page = odd.list_page(odd.encode('i-2'), item, more=b'true')
    named = b'"i-3"' in item
    assert odd.read(odd.LIST, page).next_after == ('i-3' if named else 'i-2')


def test_a_list_that_could_not_continue_is_an_error():
    """Taken as the last page it would remove all upstreams after it."""
    with pytest.raises(ValueError, match='name'):
        odd.read(odd.LIST, odd.list_page(b'1e999', b'{}', more=b'true'))


def test_an_upstream_that_becomes_unreadable_is_removed_as_by_a_list():
    events = (
        odd.encode('i-1'),
        odd.encode_odd(b'1e999', 'i-2'),
        odd.encode_odd(b'1e999', 'i-1'),
        odd.encode('i-1', rev=6),
    )
    result = odd.read(odd.WATCH, odd.watch_page(*events))
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
    item = odd.encode('main', msgspec.Raw(b'{"version":1e999}'))
    for call, page in (
        (store.ListKind(kind, None), odd.list_page(item)),
        (store.WatchKind(kind, 5, 1_000), odd.watch_page(item)),
    ):
        result = odd.read(call, page)
        assert result.items == ()
        assert [x.name for x in result.unreadable] == ['main']


def test_a_drain_with_an_unreadable_spec_is_in_force():
    kind = store.Kind.DRAINS
    item = odd.encode('guj-a', msgspec.Raw(b'1e999'))
    for call, page in (
        (store.ListKind(kind, None), odd.list_page(item)),
        (store.WatchKind(kind, 5, 1_000), odd.watch_page(item)),
    ):
        assert odd.read(call, page).items == (inp.DrainAdded('guj-a'),)
