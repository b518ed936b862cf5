"""Check how entries that share a store bind free keys."""

import typing

from core.components.keys import key_network
from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import coordinator
from zinnialead_core.components.keys import models
from zinnialead_core.components import store
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict

KEY = 'order-7'
NOW_MS = key_network.START_MS


class FakeShard(typing.NamedTuple):
    """A shard of the store; ``versions`` has all that were written."""

    rows: list
    versions: list


def serve(shard: FakeShard, call: store.Call) -> store.Result:
    match call:
        case store.WriteBindings(name, rows, version):
            if version != (shard.versions[-1] if shard.versions else None):
                return store.Conflict(name)
            shard.rows[:] = rows
            shard.versions.append(len(shard.versions) + 1)
    if not shard.versions:
        return store.Missing(call.name)
    return store.FoundBindings(
        call.name, tuple(shard.rows), shard.versions[-1]
    )


def feed(world, now_ms, *inputs):
    return list(coordinator.run(world, now_ms, inputs))


def start_claim(world, request_id=1, now_ms=NOW_MS, created_ms=None):
    claim = inp.ClaimRequested(request_id, KEY, created_ms, now_ms + 3_000.0)
    return feed(world, now_ms, claim)


def complete_call(shard, world, call, now_ms=NOW_MS):
    store_done = inp.StoreDone(call.call_id, serve(shard, call.call))
    return feed(world, now_ms, store_done)


def refusal(outputs):
    match outputs:
        case [out.Notify(inp.ClaimDenied(_, models.Denied(refused)))]:
            return refused
    raise AssertionError(outputs)


def test_copies_at_two_entries_share_one_binding():
    shard = FakeShard([], [])
    one, two = key_network.new_world('a', 1), key_network.new_world('b', 1)
    [read_one] = start_claim(one)
    [read_two] = start_claim(two)
    [write_one] = complete_call(shard, one, read_one)
    [write_two] = complete_call(shard, two, read_two)
    [claim_ask] = complete_call(shard, one, write_one)
    [reread] = complete_call(shard, two, write_two)
    assert isinstance(reread.call, store.ReadBindings)
    [claim_ask_two] = complete_call(shard, two, reread)
    assert claim_ask.message.key == claim_ask_two.message.key
    assert (claim_ask.entry, claim_ask_two.entry) == ('a', 'a')


def test_copies_of_a_request_share_one_store_call():
    shard = FakeShard([], [])
    world = key_network.new_world('a', 1)
    [read] = start_claim(world)
    assert start_claim(world, 2) == []
    [write] = complete_call(shard, world, read)
    assert len(write.call.rows) == 1
    assert len(complete_call(shard, world, write)) == 2
    [claim_ask] = start_claim(world, 3)
    assert isinstance(claim_ask, out.SendPeer)


def test_the_shard_is_read_again_after_a_write_without_answer():
    shard = FakeShard([], [])
    world = key_network.new_world('a', 1)
    [read] = start_claim(world)
    [write] = complete_call(shard, world, read)
    serve(shard, write.call)
    lost = store.Failed(write.call.name, 'timeout')
    [reread] = feed(world, NOW_MS, inp.StoreDone(write.call_id, lost))
    [claim_ask] = complete_call(shard, world, reread)
    assert claim_ask.message.key == shard.rows[0].issued


def test_an_unbound_key_is_refused_while_the_store_is_down():
    world = key_network.new_world('a', 1)
    [read] = start_claim(world)
    down = inp.StoreDone(read.call_id, store.Failed(read.call.name, 'down'))
    refused = refusal(feed(world, NOW_MS, down))
    assert refused.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert refused.reason is verdict.Reason.KEY_UNDECIDED
    assert not world.claims
    [retry] = start_claim(world, 2)
    assert isinstance(retry.call, store.ReadBindings)


def test_a_key_is_refused_past_its_lifetime_and_rebound_much_later():
    shard = FakeShard([], [])
    world = key_network.new_world('a', 1)
    [read] = start_claim(world)
    [write] = complete_call(shard, world, read)
    complete_call(shard, world, write)
    late_ms = NOW_MS + const.KEY_LIFETIME_MS
    refused = refusal(start_claim(world, 2, late_ms))
    assert refused.reason is verdict.Reason.KEY_EXPIRED
    old = refusal(start_claim(world, 3, late_ms, created_ms=NOW_MS))
    assert old.reason is verdict.Reason.KEY_EXPIRED
    much_later_ms = late_ms + 10 * const.CLOCK_MARGIN_MS
    [write] = start_claim(world, 4, much_later_ms)
    assert write.call.rows[0].issued != shard.rows[0].issued
