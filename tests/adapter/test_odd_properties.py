"""Test arbitrary changes of one object of an answer, up to its users."""

import contextlib
import copy
import json

import hypothesis
from hypothesis import strategies as st
import msgspec

from adapter import odd_objects as odd
from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway.store import snapshots
from zinnialead_gateway import diagnostics
from zinnialead_gateway.operators import coordinator as operators
from zinnialead_gateway.peers import codec

JUNK = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**40), 10**40)
    | st.floats()
    | st.text(max_size=8),
    lambda x: (
        st.lists(x, max_size=3)
        | st.dictionaries(st.text(max_size=8), x, max_size=3)
    ),
    max_leaves=6,
)
# Bytes without the quotes and brackets by which items are told apart.
BYTES = st.binary(max_size=20).map(
    lambda x: x.translate(None, delete=b'"\\[]{},')
)
RAW_VALUES = (
    JUNK.map(lambda x: json.dumps(x).encode())
    | BYTES
    | BYTES.map(lambda x: b'"%s"' % x)
    | st.sampled_from(
        [
            *odd.UNREADABLE.values(),
            *odd.NESTED.values(),
            *odd.HUGE,
            *odd.NO_TIMES,
            *odd.NO_NAMES,
            *(json.dumps(x).encode() for x in odd.ADDRESSES.values()),
        ]
    )
)


def paths(document, prefix=()):
    """Yield the path of each value in a document."""
    yield prefix
    if isinstance(document, dict):
        for name, value in document.items():
            yield from paths(value, (*prefix, name))


@st.composite
def changed_items(draw, kind):
    """Draw an object with one value replaced, removed or added."""
    document = {
        'metadata': {'name': 'odd', 'rev': 4},
        'spec': odd.SPECS_BY_KIND[kind],
    }
    raw = msgspec.Raw(draw(RAW_VALUES))
    path = draw(st.sampled_from(list(paths(document))))
    if not path:
        return bytes(raw)
    document = copy.deepcopy(document)
    parent = document
    for name in path[:-1]:
        parent = parent[name]
    match draw(st.sampled_from(['replace', 'remove', 'add', 'repeat'])):
        case 'replace':
            parent[path[-1]] = raw
        case 'remove':
            del parent[path[-1]]
        case 'add':
            parent[draw(st.text(max_size=5))] = raw
        case 'repeat':
            encoded = msgspec.json.encode(parent[path[-1]])
            pair = b'%s,"%s":%s' % (encoded, path[-1].encode(), bytes(raw))
            parent[path[-1]] = msgspec.Raw(pair)
    return msgspec.json.encode(document)


def name_of(item):
    """Return the name that an input of the core is about."""
    match item:
        case inp.UpstreamRegistered(row):
            return row.upstream
        case inp.EntryRegistered(row):
            return row.entry
        case inp.UpstreamDeregistered(name) | inp.EntryDeregistered(name):
            return name
        case inp.DrainAdded(name) | inp.DrainRemoved(name):
            return name
        case inp.ConfigurationRead():
            return item.source


def use_everywhere(kind, result):
    """Pass a result to all that use its rows: none of them may raise."""
    world = gateway.new_world(samples.node(), seed=1)
    samples.feed(world, 0.0, inp.Started())
    configuration = samples.configuration(0, samples.route(prefix='/desk/'))
    rows = (samples.upstream('u-1'), samples.upstream('u-2', 'tn-a'))
    samples.feed(
        world,
        0.0,
        inp.ConfigurationRead(configuration, 'test'),
        inp.UpstreamsListed(rows, 1),
        inp.EntryRegistered(samples.entry_row('entry-2')),
    )
    outputs = samples.feed(world, 1.0, samples.store_done(world, kind, result))
    for step in range(25):
        request = samples.arrival(step, f'/desk/{step}', str(step))
        outputs += samples.feed(world, 100.0 * step + 2.0, request)
    for output in outputs:
        match output:
            case out.SendHeartbeat(_, heartbeat):
                codec.encode_heartbeat(heartbeat)
            case out.SendChanges(_, changes):
                with contextlib.suppress(ValueError):
                    # Too large for a datagram.
                    codec.encode_changes(changes)
            case out.LogStateChange():
                assert len(msgspec.json.encode(output)) < 2_000
    found = [snapshots.snapshot(world, 3_000.0, x) for x in store.Kind]
    codec.encode_snapshots('entry-1', [x for x in found if x])
    operators._json(diagnostics.dump(world, 3_000.0))
    operators._json(world.routes.active)


@hypothesis.settings(deadline=None, max_examples=400)
@hypothesis.given(st.data())
def test_any_change_of_one_object_leaves_the_others_as_they_are(data):
    kind = data.draw(st.sampled_from(list(store.Kind)))
    changed = data.draw(changed_items(kind))
    spec = odd.SPECS_BY_KIND[kind]
    good = [odd.encode('a', spec, 2), odd.encode('z', spec, 3)]
    position = data.draw(st.integers(0, 2))
    items = [*good[:position], changed, *good[position:]]
    is_watch = data.draw(st.booleans())
    if is_watch:
        call, page = store.WatchKind(kind, 5, 1_000), odd.watch_page
    else:
        call, page = store.ListKind(kind, None), odd.list_page
    expected = odd.read(call, page(*good)).items
    result = odd.read(call, page(*items))
    assert result.revision == 9
    others = [x for x in result.items if x in expected]
    assert others == list(expected)
    assert len(result.items) <= len(expected) + 1
    assert len(result.unreadable) <= 1
    assert result.unreadable or len(result.items) == len(expected) + 1
    use_everywhere(kind, result)
