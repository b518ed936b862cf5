"""Read, watch and lose the store."""

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import models as store

UPSTREAMS = store.Kind.UPSTREAMS


def started():
    world = gateway.new_world(samples.node(), seed=1)
    return world, samples.feed(world, 0.0, inp.Started())


def calls(outputs, kind=UPSTREAMS):
    return [
        x.call for x in samples.only(outputs, out.CallStore) if x.kind == kind
    ]


def until_called(world, now_ms, kind=UPSTREAMS):
    for step in range(200):
        found = calls(samples.feed(world, now_ms + 50.0 * step), kind)
        if found:
            return found[0], now_ms + 50.0 * step
    raise AssertionError('no call came')


def test_every_kind_is_read_and_then_watched():
    world, outputs = started()
    listed = {x.call.kind for x in samples.only(outputs, out.CallStore)
              if isinstance(x.call, store.ListKind)}
    assert listed == set(store.Kind)
    page = store.Listed((inp.UpstreamSeen(samples.upstream('u-1')),), None, 40)
    samples.feed(world, 1.0, inp.StoreDone(UPSTREAMS, page))
    call, _ = until_called(world, 1.0)
    assert call == store.WatchKind(UPSTREAMS, 40, call.wait_ms)
    assert 'u-1' in world.upstreams.rows


def test_a_list_in_pages_replaces_what_was_known_only_when_whole():
    world, _ = started()
    first = store.Listed((inp.UpstreamSeen(samples.upstream('a')),), 'a', 7)
    samples.feed(world, 1.0, inp.StoreDone(UPSTREAMS, first))
    assert not world.upstreams.rows
    call, now_ms = until_called(world, 1.0)
    assert call == store.ListKind(UPSTREAMS, 'a')
    second = store.Listed((inp.UpstreamSeen(samples.upstream('b')),), None, 9)
    samples.feed(world, now_ms, inp.StoreDone(UPSTREAMS, second))
    assert set(world.upstreams.rows) == {'a', 'b'}


def test_lost_history_is_followed_by_a_list():
    world, _ = started()
    page = store.Listed((), None, 40)
    samples.feed(world, 1.0, inp.StoreDone(UPSTREAMS, page))
    _, now_ms = until_called(world, 1.0)
    gone = inp.StoreDone(UPSTREAMS, store.HistoryGone())
    samples.feed(world, now_ms, gone)
    call, _ = until_called(world, now_ms)
    assert call == store.ListKind(UPSTREAMS, None)


def test_failures_are_followed_by_longer_and_longer_pauses():
    world, _ = started()
    now_ms = 1.0
    pauses = []
    for _ in range(6):
        failed = inp.StoreDone(UPSTREAMS, store.Failed('down'))
        samples.feed(world, now_ms, failed)
        _, later_ms = until_called(world, now_ms)
        pauses.append(later_ms - now_ms)
        now_ms = later_ms
    assert pauses[0] <= 150.0
    assert 500.0 <= pauses[-1] <= 1_300.0


def test_a_refused_registration_is_tried_again_by_its_owner():
    """A timer of the registration once ended the process."""
    world, _ = started()
    conflict = inp.StoreDone('registration', store.Conflict())
    samples.feed(world, 1.0, conflict)
    call, _ = until_called(world, 1.0, 'registration')
    assert isinstance(call, store.RegisterEntry)
