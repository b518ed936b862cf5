"""Bind free keys at two entries that share a store."""

import typing

from core.components.keys import bag as bags
from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import coordinator
from zinnialead_core.components.keys import models
from zinnialead_core.components import store
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict

KEY = 'order-7'
NOW_MS = bags.START_MS


class Fake(typing.NamedTuple):
    """One shard of the store."""

    rows: list
    version: list


def serve(fake: Fake, call: store.Call) -> store.Result:
    match call:
        case store.WriteBindings(name, rows, version):
            if version != (fake.version[-1] if fake.version else None):
                return store.Conflict(name)
            fake.rows[:] = rows
            fake.version.append(len(fake.version) + 1)
    if not fake.version:
        return store.Missing(call.name)
    return store.FoundBindings(call.name, tuple(fake.rows), fake.version[-1])


def feed(world, now_ms, *given):
    return list(coordinator.run(world, now_ms, given))


def want(world, request_id=1, now_ms=NOW_MS, created_ms=None):
    wanted = inp.ClaimRequested(request_id, KEY, created_ms, now_ms + 3_000.0)
    return feed(world, now_ms, wanted)


def answer(fake, world, call, now_ms=NOW_MS):
    done = inp.StoreDone(call.call_id, serve(fake, call.call))
    return feed(world, now_ms, done)


def refusal(outputs):
    match outputs:
        case [out.Notify(inp.ClaimDenied(_, models.Denied(found)))]:
            return found
    raise AssertionError(outputs)


def test_a_free_key_is_bound_once_and_its_copies_share_the_binding():
    fake = Fake([], [])
    one, two = bags.new_world('a', 1), bags.new_world('b', 1)
    [read_one] = want(one)
    [read_two] = want(two)
    [write_one] = answer(fake, one, read_one)
    [write_two] = answer(fake, two, read_two)
    [asked] = answer(fake, one, write_one)
    [again] = answer(fake, two, write_two)
    assert isinstance(again.call, store.ReadBindings)
    [asked_two] = answer(fake, two, again)
    assert asked.message.key == asked_two.message.key
    assert (asked.entry, asked_two.entry) == ('a', 'a')


def test_copies_ride_on_one_call():
    fake = Fake([], [])
    world = bags.new_world('a', 1)
    [read] = want(world)
    assert want(world, 2) == []
    [write] = answer(fake, world, read)
    assert len(write.call.rows) == 1
    assert len(answer(fake, world, write)) == 2
    [asked] = want(world, 3)
    assert isinstance(asked, out.SendPeer)


def test_a_write_whose_answer_is_lost_is_read_back():
    fake = Fake([], [])
    world = bags.new_world('a', 1)
    [read] = want(world)
    [write] = answer(fake, world, read)
    serve(fake, write.call)
    lost = store.Failed(write.call.name, 'timeout')
    [again] = feed(world, NOW_MS, inp.StoreDone(write.call_id, lost))
    [asked] = answer(fake, world, again)
    assert asked.message.key == fake.rows[0].issued


def test_an_unbound_key_is_refused_while_the_store_is_down():
    world = bags.new_world('a', 1)
    [read] = want(world)
    down = inp.StoreDone(read.call_id, store.Failed(read.call.name, 'down'))
    found = refusal(feed(world, NOW_MS, down))
    assert found.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert found.reason is verdict.Reason.KEY_UNDECIDED
    assert not world.claims
    [retry] = want(world, 2)
    assert isinstance(retry.call, store.ReadBindings)


def test_a_key_is_refused_past_its_lifetime_and_bound_anew_much_later():
    fake = Fake([], [])
    world = bags.new_world('a', 1)
    [read] = want(world)
    [write] = answer(fake, world, read)
    answer(fake, world, write)
    late_ms = NOW_MS + const.KEY_LIFETIME_MS
    found = refusal(want(world, 2, late_ms))
    assert found.reason is verdict.Reason.KEY_EXPIRED
    old = refusal(want(world, 3, late_ms, created_ms=NOW_MS))
    assert old.reason is verdict.Reason.KEY_EXPIRED
    much_later_ms = late_ms + 10 * const.CLOCK_MARGIN_MS
    [write] = want(world, 4, much_later_ms)
    assert write.call.rows[0].issued != fake.rows[0].issued
