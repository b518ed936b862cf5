"""Check how entries that share a store bind free keys."""

import itertools
import typing

from core.components.keys import key_network
from zinnialead_core.components.keys import binding
from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import coordinator
from zinnialead_core.components.keys import models
from zinnialead_core.components import store
from zinnialead_core.components.store import eras
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict

KEY = 'order-7'
NOW_MS = key_network.START_MS


class FakeShard(typing.NamedTuple):
    """A shard of the store; ``versions`` has all that were written."""

    rows: list
    versions: list
    marks: list


def serve(shard: FakeShard, call: store.Call) -> store.Result:
    match call:
        case store.WriteBindings(name, rows, version, mark):
            if version != (shard.versions[-1] if shard.versions else None):
                return store.Conflict(name)
            shard.rows[:] = rows
            shard.marks[:] = [mark]
            shard.versions.append(len(shard.versions) + 1)
    if not shard.versions:
        return store.Missing(call.name)
    return store.FoundBindings(
        call.name, tuple(shard.rows), shard.versions[-1], *shard.marks
    )


def feed(world, now_ms, *inputs):
    return list(coordinator.run(world, now_ms, inputs))


def start_claim(world, request_id=1, now_ms=NOW_MS, created_ms=None):
    claim = inp.ClaimRequested(request_id, KEY, created_ms, now_ms + 3_000.0)
    return feed(world, now_ms, claim)


def complete_call(shard, world, call, now_ms=NOW_MS, era=1):
    result = serve(shard, call.call)
    store_done = inp.StoreDone(call.call_id, result, era)
    list(eras.enter(world, now_ms, era, call.call_id))
    return feed(world, now_ms, store_done)


def refusal(outputs):
    match outputs:
        case [out.Notify(inp.ClaimDenied(_, models.Denied(refused)))]:
            return refused
    raise AssertionError(outputs)


def test_copies_at_two_entries_share_one_binding():
    shard = FakeShard([], [], [])
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
    shard = FakeShard([], [], [])
    world = key_network.new_world('a', 1)
    [read] = start_claim(world)
    assert start_claim(world, 2) == []
    [write] = complete_call(shard, world, read)
    assert len(write.call.rows) == 1
    assert len(complete_call(shard, world, write)) == 2
    [claim_ask] = start_claim(world, 3)
    assert isinstance(claim_ask, out.SendPeer)


def test_the_shard_is_read_again_after_a_write_without_answer():
    shard = FakeShard([], [], [])
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
    shard = FakeShard([], [], [])
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


def restore(shard, rows=(), versions=(), marks=()):
    """Bring the shard back from an older copy."""
    for table, copied in zip(shard, (rows, versions, marks), strict=True):
        table[:] = copied


def bind(shard, world, request_id=1, **options):
    """Bind the key in the store and return the key that it is bound to."""
    [read] = start_claim(world, request_id, **options)
    [write] = complete_call(shard, world, read)
    [claim_ask] = complete_call(shard, world, write)
    return claim_ask.message.key


def test_a_key_whose_binding_a_restored_store_lost_is_not_bound_again():
    shard = FakeShard([], [], [])
    one, two = key_network.new_world('a', 1), key_network.new_world('b', 1)
    bind(shard, one)
    restore(shard)
    [read] = start_claim(two)
    outputs = complete_call(shard, two, read, era=2)
    while outputs and isinstance(outputs[0], out.CallStore):
        [call] = outputs
        outputs = complete_call(shard, two, call, era=2)
    refused = refusal(outputs)
    assert refused.reason is verdict.Reason.KEY_UNDECIDED
    assert refused.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert KEY not in {row.key for row in shard.rows}


def complete_all(shard, world, outputs, now_ms=NOW_MS, era=2):
    """Complete store calls until there are none, and return the rest."""
    rest = []
    for output in outputs:
        if isinstance(output, out.CallStore):
            more = complete_call(shard, world, output, now_ms, era)
            rest += complete_all(shard, world, more, now_ms, era)
        else:
            rest.append(output)
    return rest


def claim_in_restored_store(shard, name='b', now_ms=NOW_MS, created_ms=None):
    """Return what a claim leads to at an entry that starts after a restore."""
    world = key_network.new_world(name, 1)
    calls = start_claim(world, 1, now_ms, created_ms)
    return complete_all(shard, world, calls, now_ms)


def test_a_key_that_was_made_after_the_restore_is_bound():
    shard = FakeShard([], [], [])
    margin_ms = 2 * const.CLOCK_MARGIN_MS
    refusal(claim_in_restored_store(shard, created_ms=NOW_MS))
    [mark] = shard.marks
    assert mark == store.ShardMark(2, NOW_MS)
    late_ms = NOW_MS + 60_000.0
    for created_ms in (None, NOW_MS + margin_ms - 1.0):
        outputs = claim_in_restored_store(shard, 'c', late_ms, created_ms)
        assert refusal(outputs).reason is verdict.Reason.KEY_UNDECIDED
    created_ms = NOW_MS + margin_ms
    [ask] = claim_in_restored_store(shard, 'd', late_ms, created_ms)
    assert ask.message.key == shard.rows[0].issued
    assert shard.marks == [mark]


def test_a_key_without_a_time_is_bound_when_a_lost_one_would_have_expired():
    shard = FakeShard([], [], [])
    refusal(claim_in_restored_store(shard))
    late_ms = NOW_MS + const.KEY_LIFETIME_MS + 4 * const.CLOCK_MARGIN_MS
    refusal(claim_in_restored_store(shard, 'c', late_ms - 1.0))
    [ask] = claim_in_restored_store(shard, 'd', late_ms)
    assert ask.message.key == shard.rows[0].issued


def test_bindings_that_a_restored_store_lost_are_written_back():
    shard = FakeShard([], [], [])
    world = key_network.new_world('a', 1)
    bound = bind(shard, world)
    restore(shard)
    list(eras.enter(world, NOW_MS, 2, 0))
    assert feed(world, NOW_MS, inp.StoreRestored(2)) == []
    [timer] = [x for x in world.timers.due_ms if isinstance(x, timers.BindDue)]
    calls = feed(world, NOW_MS, inp.TimerDue(timer))
    assert complete_all(shard, world, calls) == []
    assert shard.rows == [store.BindingRow(KEY, bound)]
    assert shard.marks == [store.ShardMark(2, NOW_MS)]
    [ask] = claim_in_restored_store(shard)
    assert ask.message.key == bound
    assert feed(world, NOW_MS, inp.TimerDue(timer)) == []


def test_a_binding_is_kept_when_a_restored_store_conflicts():
    shard = FakeShard([], [], [])
    world = key_network.new_world('a', 1)
    bound = bind(shard, world)
    restore(shard)
    other = inp.ClaimRequested(2, colliding_key(), None, NOW_MS + 3_000.0)
    complete_all(shard, world, feed(world, NOW_MS, other))
    [ask] = start_claim(world, 3)
    assert ask.message.key == bound


def colliding_key():
    """Return another key of the same shard."""
    number = binding._shard_number(KEY)
    names = (f'other-{n}' for n in itertools.count())
    return next(x for x in names if binding._shard_number(x) == number)


def test_a_write_at_a_version_that_was_given_out_again_binds_nothing():
    shard = FakeShard([], [], [])
    world = key_network.new_world('a', 1)
    [read] = start_claim(world)
    [write] = complete_call(shard, world, read)
    # Another entry binds the key; that is lost, and the version comes back.
    other = key_network.new_world('b', 1)
    bind(shard, other)
    restore(shard)
    outputs = complete_all(shard, world, [write])
    assert refusal(outputs).reason is verdict.Reason.KEY_UNDECIDED
    assert shard.rows == []
    assert shard.marks == [store.ShardMark(2, NOW_MS)]


def test_what_a_past_era_wrote_is_read_again():
    shard = FakeShard([], [], [])
    world = key_network.new_world('a', 1)
    [read] = start_claim(world)
    [write] = complete_call(shard, world, read)
    written = inp.StoreDone(write.call_id, serve(shard, write.call), 1)
    restore(shard)
    list(eras.enter(world, NOW_MS, 2, 0))
    [reread] = feed(world, NOW_MS, written)
    assert isinstance(reread.call, store.ReadBindings)
    outputs = complete_all(shard, world, [reread])
    assert refusal(outputs).reason is verdict.Reason.KEY_UNDECIDED
