"""Test what zinnialeadd does when upstreams leave or ask for a pause."""

from core.components.slots import asking
from core.components.slots import test_handover as handover
import pytest

from zinnialead_core.components import keys
from zinnialead_core.components.requests import models as requests
from zinnialead_core.components.upstreams import const
from zinnialead_core.components.upstreams import diagnostics
from zinnialead_core.components.upstreams import messages
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import notices
from zinnialead_core import outputs as out
from zinnialead_core import verdict

FIRST, SECOND = 'pricebook-1', 'pricebook-2'
ADDRESS = '127.0.0.1:1'
LEAVES = notices.Leaves()


def announced(notice=LEAVES, upstream=FIRST, address=ADDRESS):
    return inp.UpstreamAnnounced(upstream, address, notice, 'e1.1.7.1')


def paused(pause_ms, upstream=FIRST):
    return announced(notices.Pauses(pause_ms), upstream)


def polled(asked_ms, upstream=FIRST, leaving=False):
    return inp.UpstreamReport(upstream, True, 0, leaving, asked_ms)


def owned(upstreams=2, number_of_slots=3, now_ms=1.0):
    return asking.world_with(now_ms, number_of_slots, upstreams)


def granted_upstreams(world, now_ms, *numbers):
    """Return which upstreams the asks of another entry get slots at."""
    answers = [
        answer
        for number in numbers
        for answer in asking.tell(world, now_ms, asking.ask(number))
    ]
    return [getattr(x, 'upstream', None) for x in answers]


def log_lines(outputs):
    return [x for x in outputs if isinstance(x, out.LogChange)]


def test_an_upstream_that_announced_to_leave_gets_no_slot_granted():
    world = owned()
    [line] = log_lines(asking.tick(world, 2.0, announced()))
    assert (line.subject, line.before) == (FIRST, 'in service')
    assert line.after == 'leaving, answer to e1.1.7.1'
    assert set(granted_upstreams(world, 2.0, 1, 2, 3)) == {SECOND}
    assert not log_lines(asking.tick(world, 3.0, announced()))


def test_asks_in_the_queue_get_no_slot_at_a_leaving_upstream():
    world = owned(upstreams=2, number_of_slots=1)
    assert set(granted_upstreams(world, 2.0, 1, 2)) == {FIRST, SECOND}
    asking.tell(world, 3.0, asking.ask(3), asking.ask(4))
    asking.tick(world, 4.0, announced(), announced(upstream=SECOND))
    assert not world.queues.queued


def test_a_poll_that_began_before_the_announcement_does_not_end_it():
    world = owned()
    asking.tick(world, 100.0, announced())
    asking.tick(world, 110.0, polled(asked_ms=90.0))
    assert set(granted_upstreams(world, 120.0, 1, 2, 3)) == {SECOND}


def test_the_next_run_of_an_upstream_that_left_ramps_up():
    world = owned()
    asking.tick(world, 100.0, announced())
    [line] = log_lines(asking.tick(world, 2_100.0, polled(2_000.0)))
    assert (line.before, line.after) == ('leaving', 'in service')
    got = granted_upstreams(world, 2_100.0, *range(4))
    assert (got.count(FIRST), got.count(SECOND)) == (1, 3)


@pytest.mark.parametrize('notice', [LEAVES, notices.Pauses(9_000.0)])
def test_an_announcement_ends_with_the_upstreams_address(notice):
    world = owned(upstreams=1)
    asking.tick(world, 2.0, announced(notice))
    assert not [x for x in granted_upstreams(world, 3.0, 1) if x]
    rows = world.states['in-force'].upstreams
    moved = rows[FIRST]._replace(address='127.0.0.1:2')
    asking.put_in_force(world, 4.0, upstreams={**rows, FIRST: moved})
    asking.tick(world, 5.0, announced(notice))
    assert FIRST in granted_upstreams(world, 6.0, 2)


def test_a_paused_upstream_gets_no_slot_until_the_end_and_then_ramps_up():
    world = owned()
    [line] = log_lines(asking.tick(world, 0.0, paused(2_500.0)))
    assert line.after == 'paused for 2500 ms, answer to e1.1.7.1'
    assert set(granted_upstreams(world, 2_499.0, 1, 2, 3)) == {SECOND}
    asking.tell(world, 2_499.5, *map(asking.give_back, (1, 2, 3)))
    [line] = log_lines(asking.tick(world, 2_500.0))
    assert (line.before, line.after) == ('paused', 'in service')
    got = granted_upstreams(world, 2_501.0, *range(4, 8))
    assert (got.count(FIRST), got.count(SECOND)) == (1, 3)
    asking.tell(world, 2_502.0, *map(asking.give_back, range(4, 8)))
    got = granted_upstreams(world, 2_500.0 + const.RAMP_MS, *range(8, 14))
    assert got.count(FIRST) == 3


def test_a_shorter_pause_or_a_sound_poll_ends_no_pause():
    world = owned()
    asking.tick(world, 0.0, paused(2_000.0))
    asking.tick(world, 10.0, paused(100.0), polled(5.0))
    assert set(granted_upstreams(world, 1_900.0, 1, 2, 3)) == {SECOND}


def test_a_very_long_pause_does_not_lose_the_upstream():
    world = owned(upstreams=1)
    asking.tick(world, 0.0, paused(1e15))
    assert not [x for x in granted_upstreams(world, 59_000.0, 1) if x]
    assert FIRST in granted_upstreams(world, 60_001.0, 2)
    assert world.counters['upstreams.pauses_cut'] == 1


def test_a_pause_of_unreadable_length_is_counted_and_not_kept():
    world = owned(upstreams=1)
    odd = announced(notices.UnreadablePause('soon'))
    [line] = log_lines(asking.tick(world, 2.0, odd))
    assert "'soon'" in line.after
    assert world.counters['upstreams.unreadable_pauses'] == 1
    assert granted_upstreams(world, 3.0, 1) == [FIRST]


def test_an_ask_that_no_pause_ends_in_time_for_is_refused_at_once():
    world = owned()
    asking.tick(world, 0.0, paused(4_000.0), paused(9_000.0, SECOND))
    soon, late = asking.ask(1, left_ms=3_900.0), asking.ask(2, left_ms=5_000.0)
    [answer] = asking.tell(world, 1.0, soon, late)
    assert answer.ask_id.request_id == 1
    assert answer.refusal.verdict is verdict.Verdict.NOT_RUN
    assert answer.refusal.retry_after_ms >= 3_999.0
    assert granted_upstreams(world, 4_050.0) == []
    assert asking.granted(asking.tell(world, 4_150.0)) == [2]


def test_queued_asks_are_refused_as_soon_as_a_pause_outlasts_them():
    world = owned(upstreams=1, number_of_slots=1)
    asking.tell(world, 1.0, asking.ask(1))
    asking.tell(
        world,
        2.0,
        asking.ask(2, left_ms=1_000.0),
        asking.ask(3, left_ms=9_000.0),
    )
    outputs = asking.tick(world, 3.0, paused(2_000.0))
    answers = [x.message for x in outputs if isinstance(x, out.SendPeer)]
    assert asking.refused(answers) == {2: 'deadline-too-short'}


def test_the_dump_shows_what_is_left_alone_and_for_how_long():
    world = owned()
    asking.tick(world, 0.0, announced(), paused(4_000.0, SECOND))
    dump = diagnostics.dump(world, 1_000.0)
    assert dump[FIRST]['announced_leaving']
    assert dump[FIRST]['paused_for_ms'] is None
    assert not dump[SECOND]['announced_leaving']
    assert dump[SECOND]['paused_for_ms'] == 3_000.0


# What crosses between entries.


def two_entries():
    """Return the owner, the other entry, and both worlds."""
    worlds = asking.two_worlds()
    owner, other = handover.owner_and_other(worlds)
    return owner, other, worlds


def requests_sent(outputs):
    return [x for x in outputs if isinstance(x, out.Dispatch)]


@pytest.mark.parametrize('notice', [LEAVES, notices.Pauses(9_000.0)])
def test_the_owner_of_the_slots_learns_of_it_at_once(notice):
    owner, other, worlds = two_entries()
    now_ms = handover.LATER_MS
    asking.run_until_idle(worlds, now_ms, other, announced(notice))
    for name in (owner, other):
        arrival = handover.request(1, now_ms)
        outputs = asking.run_until_idle(worlds, now_ms, name, arrival)
        assert not requests_sent(outputs)


@pytest.mark.parametrize('notice', [LEAVES, notices.Pauses(9_000.0)])
def test_an_owner_that_missed_the_message_is_told_again(notice):
    owner, other, worlds = two_entries()
    now_ms = handover.LATER_MS
    list(asking.tick(worlds[other], now_ms, announced(notice)))
    arrival = handover.request(1, now_ms)
    outputs = asking.run_until_idle(worlds, now_ms, other, arrival)
    assert not requests_sent(outputs)
    assert worlds[other].counters['requests.slot_left_alone'] == 1
    arrival = handover.request(2, now_ms)
    outputs = asking.run_until_idle(worlds, now_ms, owner, arrival)
    assert not requests_sent(outputs)


@pytest.mark.parametrize('notice', [LEAVES, notices.Pauses(9_000.0)])
def test_the_next_owner_is_told(notice):
    owner, other, worlds = two_entries()
    now_ms = handover.LATER_MS
    list(asking.tick(worlds[owner], now_ms, announced(notice)))
    outputs = asking.tick(worlds[owner], now_ms + 1.0, inp.StopRequested())
    told = [x for x in outputs if isinstance(x, out.SendPeer)]
    told = [x for x in told if isinstance(x.message, messages.UpstreamNotice)]
    assert [x.entry for x in told] == [other]


def test_an_entry_uses_the_next_run_that_the_owner_saw():
    owner, other, worlds = two_entries()
    now_ms = handover.LATER_MS
    asking.run_until_idle(worlds, now_ms, other, announced())
    now_ms += 2_000.0
    asking.run_until_idle(worlds, now_ms, owner, polled(now_ms - 10.0))
    now_ms += 5_000.0
    arrival = handover.request(1, now_ms)
    outputs = asking.run_until_idle(worlds, now_ms, other, arrival)
    assert [x.upstream for x in requests_sent(outputs)] == [FIRST]
    assert worlds[other].counters['requests.slot_left_alone'] == 0


def test_an_owner_does_not_believe_what_a_poll_has_outdated():
    owner, other, worlds = two_entries()
    world = worlds[owner]
    asking.tick(world, 9_000.0, polled(8_990.0))
    stale = messages.UpstreamNotice(FIRST, ADDRESS, LEAVES, 5_000.0)
    peer = inp.PeerMessage(ids.EntryRef(other, 1), stale)
    assert not log_lines(asking.tick(world, 9_010.0, peer))
    assert world.counters['upstreams.notices_outdated'] == 1
    assert world.upstreams[FIRST].announced_ms is None


def pump_until_confirming(worlds, now_ms, entry, arrival):
    """Deliver messages until a request waits for its key's witness."""
    pending = [(entry, arrival)]
    while pending:
        name, given = pending.pop(0)
        for output in asking.tick(worlds[name], now_ms, given):
            assert isinstance(output, out.SendPeer)
            message = inp.PeerMessage(worlds[name].node.ref, output.message)
            pending.append((output.entry, message))
        row = worlds[entry].requests.rows[arrival.request_id]
        if row.phase is requests.Phase.CONFIRM:
            return pending
    raise AssertionError('the request never waited for its witness')


@pytest.mark.parametrize('notice', [LEAVES, notices.Pauses(9_000.0)])
def test_work_that_waits_for_its_witness_is_not_sent_any_more(notice):
    owner, other, worlds = two_entries()
    now_ms = handover.LATER_MS
    home, witness = worlds[other].node.ref, worlds[owner].node.ref
    key = f'{keys.prefix(home, witness, 0.0)}.n'
    arrival = inp.RequestArrived(
        1, 'intake', 'urgent', now_ms + 5_000.0, key, now_ms
    )
    pending = pump_until_confirming(worlds, now_ms, other, arrival)
    told = announced(notice, 'intake-1')
    outputs = asking.run_until_idle(worlds, now_ms, other, told)
    for name, given in pending:
        outputs += asking.run_until_idle(worlds, now_ms, name, given)
    assert not requests_sent(outputs)
