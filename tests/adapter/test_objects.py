"""Test reading the platform's objects, including malformed ones."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_platform import configurations
from zinnialead_platform import objects

SPEC = {
    'service': 'huvo11a',
    'addr': '10.128.0.9:8080',
    'zone': 'guj-sanand',
    'version': 'v1',
    'slots': 5,
    'state': 'ready',
    'cold_left': '1500ms',
    'sequence': 4,
    'born': 1_700_000_000_000,
}
CONFIG = {
    'version': 7,
    'routes': {
        'r-1': {
            'host': 'Hulo84.example',
            'path_prefix': '/xapu221/',
            'kind': 'non_idempotent',
            'timeout': '1200ms',
            'target_latency': '600ms',
            'priority': 1,
            'service': 'wuno96b',
            'max_attempts': 2,
            'session_affinity': True,
            'home_regions': ['guj'],
        },
        'r-2': {
            'host': 'jepu9.example',
            'path_prefix': '/lepu270/',
            'kind': 'idempotent',
            'timeout': '3s',
            'target_latency': '500ms',
            'priority': 0,
            'weighted_backends': [
                {'service': 'a', 'weight': 90},
                {'service': 'b', 'weight': 10},
            ],
            'max_attempts': 2,
            'session_affinity': False,
            'home_regions': [],
        },
    },
    'services': {
        'wuno96b': {
            'health_path': '/health',
            'max_conns': 813,
            'warmup': '3s',
            'cold_per_s': 4.3,
        }
    },
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 67108864,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    },
}
LIST = store.ListKind(store.Kind.UPSTREAMS, None)
WATCH = store.WatchKind(store.Kind.UPSTREAMS, 5, 1_000)
JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda x: (
        st.lists(x, max_size=3)
        | st.dictionaries(st.text(max_size=8), x, max_size=3)
    ),
    max_leaves=8,
)


def listing(*items, **fields):
    page = {'items': list(items), 'has_more': False, 'current_rev': 9}
    return msgspec.json.encode({**page, **fields})


def entry(name, spec, rev=3):
    return {'metadata': {'name': name, 'rev': rev}, 'spec': spec}


def read(call, body, status=200, headers=()):
    return objects.read_store(call, status, list(headers), body)


def test_an_upstream_is_read():
    row = objects.read_upstream('i-1', 3, SPEC)
    assert (row.service, row.domain, row.slots) == ('huvo11a', 'guj-sanand', 5)
    assert (row.cold_ms, row.leaving, row.revision) == (1_500.0, False, 3)


def test_a_configuration_is_read():
    configuration = configurations.read_configuration(CONFIG)
    assert configuration.version == 7
    first, second = configuration.routes['r-1'], configuration.routes['r-2']
    assert (first.idempotent, second.idempotent) == (False, True)
    assert first.host == 'hulo84.example'
    assert first.home_regions == {'guj'}
    assert [x.weight for x in second.parts] == [90.0, 10.0]
    assert configuration.limits.idle_timeout_ms == 15_000.0


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'asleep'},
        {'slots': '5'},
        {'slots': True},
        {'addr': 'nowhere'},
        {'zone': 7},
        {'cold_left': 3},
        {'service': None},
    ],
)
def test_a_malformed_object_is_skipped(change):
    body = listing(entry('bad', {**SPEC, **change}), entry('i-1', SPEC))
    result = read(LIST, body)
    assert [x.row.upstream for x in result.items] == ['i-1']


@pytest.mark.parametrize('field', ['service', 'addr', 'zone', 'slots'])
def test_an_object_without_a_required_field_is_skipped(field):
    spec = {key: value for key, value in SPEC.items() if key != field}
    assert read(LIST, listing(entry('bad', spec))).items == ()


@hypothesis.given(JUNK)
def test_a_malformed_spec_does_not_stop_the_list(spec):
    result = read(LIST, listing(entry('junk', spec), entry('i-1', SPEC)))
    assert result.items[-1].row.upstream == 'i-1'


@hypothesis.given(JUNK)
def test_a_malformed_configuration_is_skipped(spec):
    call = store.ListKind(store.Kind.CONFIGURATION, None)
    assert read(call, listing(entry('main', spec))).items == ()


def test_a_list_may_come_as_a_table():
    columns = ['metadata', 'spec']
    table = {
        'columns': columns,
        'rows': [[{'name': 'i-1', 'rev': 3}, SPEC]],
    }
    body = listing(items=table)
    assert [x.row.upstream for x in read(LIST, body).items] == ['i-1']


def test_a_partial_page_names_where_to_continue():
    body = listing(entry('i-1', SPEC), entry('i-2', SPEC), has_more=True)
    assert read(LIST, body).next_after == 'i-2'


def test_changes_are_read_in_order():
    events = [
        {'deleted': False, 'object': entry('i-1', SPEC, 11)},
        {'deleted': True, 'object': entry('i-2', SPEC, 4)},
    ]
    body = msgspec.json.encode({'events': events, 'current_rev': 12})
    result = read(WATCH, body)
    assert result.items[1] == inp.UpstreamDeregistered('i-2')
    assert (result.revision, result.latest_revision) == (12, 12)


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (410, store.HistoryGone()),
        (409, store.Conflict()),
        (429, store.Refused(250.0)),
        (503, store.Refused(250.0)),
    ],
)
def test_statuses_map_to_results(status, expected):
    headers = [(b'Retry-After', b'0.25')]
    assert read(WATCH, b'', status, headers) == expected


@pytest.mark.parametrize(
    ('value', 'expected_ms'),
    [
        (b'nan', 0.0),
        (b'inf', 0.0),
        (b'-inf', 0.0),
        (b'1e400', 0.0),
        (b'-5', 0.0),
        (b'1e300', 30_000.0),
        (b'9' * 400, 0.0),
    ],
)
def test_a_pause_out_of_range_does_not_end_the_calls(value, expected_ms):
    """An entry would have called the store again in 10**297 years."""
    result = read(WATCH, b'', 503, [(b'Retry-After', value)])
    assert result == store.Refused(expected_ms)


REGISTER = store.RegisterEntry(
    entries.EntryRow('edge-1', 7, 'guj-a', 'guj', '10.0.0.1:1', '10.0.0.1:2')
)


def test_a_conflict_returns_the_registration():
    row = REGISTER.row._replace(revision=31)
    spec = msgspec.json.decode(objects.write_store(REGISTER).body)['spec']
    body = msgspec.json.encode(entry('edge-1', spec, 31))
    result = objects.read_store(REGISTER, 409, [], body)
    assert result == store.Conflict(row)


@pytest.mark.parametrize('body', [b'', b'x', b'{}', b'[]', b'{"spec": 3}'])
def test_a_malformed_conflict_returns_no_registration(body):
    result = objects.read_store(REGISTER, 409, [], body)
    assert result == store.Conflict()


def test_any_other_status_is_a_failure():
    assert isinstance(read(WATCH, b'x', 500), store.Failed)


def test_routes_and_services_have_defaults():
    route = {
        key: value
        for key, value in CONFIG['routes']['r-1'].items()
        if key not in ('timeout', 'target_latency', 'priority')
    }
    spec = {**CONFIG, 'routes': {'r-1': route}, 'services': {'wuno96b': {}}}
    (route_row,) = configurations.read_configuration(spec).routes.values()
    assert route_row.target_ms == route_row.timeout_ms == 10_000.0
