"""Build odd objects of another writer, and answers that hold them."""

import json

import msgspec
import pytest

from adapter import deployments
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_platform import objects

SPEC = deployments.registration('10.128.0.9:8080')
ENTRY_SPEC = {
    'incarnation': 7,
    'zone': 'guj-a',
    'region': 'guj',
    'front': '127.0.0.1:1',
    'peer': '127.0.0.1:2',
    'speed': 0.6,
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
