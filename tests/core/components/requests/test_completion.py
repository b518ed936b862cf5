"""Test how requests end: callers leaving, deadlines, stops, retries."""

import collections

from core import samples
import hypothesis
from hypothesis import strategies as st

import zinnialead_core as core
from zinnialead_core.components.requests import const
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict

SHED = verdict.Shed()
LOST = verdict.Lost('silent')


def tick(world, now_ms, *inputs):
    return list(core.tick(world, now_ms, inputs))


def booking(number, deadline_ms=5_000.0):
    key = samples.issued_key('n')
    return samples.request(number, 'intake', key=key, deadline_ms=deadline_ms)


def done(number, outcome, attempt=1):
    return inp.DispatchDone(number, attempt, outcome, 10.0)


def next_tick(world):
    due_ms = core.next_due_ms(world)
    return due_ms, tick(world, due_ms)


def dispatches(outputs):
    return [x for x in outputs if isinstance(x, out.Dispatch)]


def test_a_slot_is_in_use_until_the_attempt_of_a_departed_caller_ends():
    world = samples.world(slots=1)
    tick(world, 0.0, samples.request(1), samples.request(2))
    outputs = tick(world, 1.0, inp.CallerDisconnected(1))
    assert outputs[0] == out.CancelDispatch(1, 1)
    assert not dispatches(outputs)
    outputs = tick(world, 2.0, done(1, verdict.NeverStarted()))
    assert [x.request_id for x in dispatches(outputs)] == [2]
    assert 1 not in world.requests.rows


def test_a_request_is_not_retried_after_its_caller_has_left():
    world = samples.world()
    tick(world, 0.0, samples.request(1))
    tick(world, 1.0, inp.CallerDisconnected(1))
    tick(world, 2.0, done(1, SHED))
    assert not world.requests.rows
    assert world.counters['requests.retried'] == 0


def test_a_queued_request_gets_no_slot_after_its_caller_has_left():
    world = samples.world(slots=1)
    tick(world, 0.0, samples.request(1), samples.request(2))
    tick(world, 1.0, inp.CallerDisconnected(2))
    assert not tick(world, 2.0, done(1, verdict.Answered(200)))[1:]
    assert not world.requests.rows


def test_the_outcome_of_late_keyed_work_is_recorded():
    world = samples.world()
    tick(world, 0.0, booking(1, deadline_ms=100.0))
    [cancel, refuse] = tick(world, 100.0)
    assert cancel == out.CancelDispatch(1, 1)
    assert refuse.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert tick(world, 120.0, done(1, verdict.Answered(201, b'booked'))) == []
    assert tick(world, 130.0, booking(2)) == [out.Replay(2, 201, b'booked')]


def test_keyed_work_that_ends_after_its_caller_left_is_replayed():
    world = samples.world()
    tick(world, 0.0, booking(1))
    outputs = tick(world, 1.0, inp.CallerDisconnected(1))
    assert outputs[0] == out.CancelDispatch(1, 1)
    tick(world, 2.0, done(1, verdict.Answered(201, b'booked')))
    assert tick(world, 3.0, booking(2)) == [out.Replay(2, 201, b'booked')]


def test_keyed_work_that_was_shed_after_its_caller_left_may_be_sent_again():
    world = samples.world()
    tick(world, 0.0, booking(1))
    tick(world, 1.0, inp.CallerDisconnected(1))
    tick(world, 2.0, done(1, SHED))
    assert dispatches(tick(world, 3.0, booking(2)))


def test_an_attempt_that_does_not_end_is_given_up():
    world = samples.world(slots=1)
    tick(world, 0.0, samples.request(1, deadline_ms=100.0))
    tick(world, 100.0)
    while world.requests.rows:
        now_ms, _ = next_tick(world)
    assert now_ms == 100.0 + const.ENDING_MAX_MS
    assert world.counters['requests.ending_dropped'] == 1
    assert world.queues.in_use['pricebook-1'] == 0


def test_keyed_work_is_retried_after_a_shed_and_not_after_a_loss():
    world = samples.world()
    world.requests.retry_tokens['intake'] = 1.0
    tick(world, 0.0, booking(1))
    assert not tick(world, 1.0, done(1, SHED))
    outputs = []
    while not dispatches(outputs):
        now_ms, outputs = next_tick(world)
    [refuse] = tick(world, now_ms, done(1, LOST, attempt=2))
    assert refuse.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
    [refuse] = tick(world, now_ms, booking(2))
    assert refuse.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_no_retry_starts_after_the_deadline():
    world = samples.world()
    tick(world, 0.0, samples.request(1, deadline_ms=50.0))
    slow = verdict.Shed(retry_after_ms=60.0)
    [refuse] = tick(world, 1.0, done(1, slow))
    assert refuse.refusal.verdict is verdict.Verdict.NOT_RUN


def test_a_stopping_entry_admits_nothing_and_completes_its_requests():
    world = samples.world(slots=1)
    tick(world, 0.0, samples.request(1), samples.request(2))
    outputs = tick(world, 1.0, inp.StopRequested(), samples.request(3))
    [refuse] = [x for x in outputs if isinstance(x, out.Refuse)]
    assert refuse.refusal.reason is verdict.Reason.STOPPING
    assert refuse.refusal.verdict is verdict.Verdict.NOT_RUN
    outputs = tick(world, 2.0, done(1, verdict.Answered(200)))
    assert out.Stopped() not in outputs
    outputs = tick(world, 3.0, done(2, verdict.Answered(200)))
    assert outputs.count(out.Stopped()) == 1


def test_the_number_of_requests_is_bounded():
    world = samples.world()
    rows = world.requests.rows
    tick(world, 0.0, samples.request(-1))
    rows |= {n: rows[-1] for n in range(const.REQUESTS_MAX - 1)}
    [refuse] = tick(world, 1.0, samples.request(const.REQUESTS_MAX))
    assert refuse.refusal.reason is verdict.Reason.QUEUE_FULL


outcomes = st.sampled_from(
    (
        verdict.Answered(200),
        SHED,
        verdict.NotSent(),
        verdict.NeverStarted(),
        LOST,
    )
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.lists(st.tuples(outcomes, st.booleans(), st.booleans()), max_size=40)
)
def test_retries_are_bounded_and_every_request_ends_once(found):
    world = samples.world()
    ends, sends = collections.Counter(), collections.Counter()
    lost = set()
    for number, (outcome, keyed, leaves) in enumerate(found):
        now_ms = max(10.0 * number, core.next_due_ms(world) or 0.0)
        item = samples.request(number, deadline_ms=now_ms + 5_000.0)
        if keyed:
            key = samples.issued_key(str(number), now_ms)
            item = samples.request(
                number, 'intake', key=key, deadline_ms=now_ms + 5_000.0
            )
        todo = tick(world, now_ms, item)
        gone = [inp.CallerDisconnected(number)] if leaves else []
        while number in world.requests.rows or todo:
            for output in todo:
                match output:
                    case out.Dispatch(request_id):
                        assert not (keyed and request_id in lost)
                        sends[request_id] += 1
                        lost |= {request_id} if outcome == LOST else set()
                    case out.Relay(request_id) | out.Refuse(request_id):
                        ends[request_id] += 1
            sent = dispatches(todo)
            given = [done(number, outcome, x.attempt) for x in sent]
            if given:
                todo = tick(world, now_ms, *gone, *given)
                gone = []
            elif number in world.requests.rows:
                now_ms, todo = next_tick(world)
            else:
                todo = []
    assert ends == dict.fromkeys(range(len(found)), 1)
    accepted = len(sends)
    spare = const.RETRY_TOKENS_START * 2
    share = const.RETRY_TOKENS_PER_REQUEST
    assert sum(sends.values()) <= accepted * (1.0 + share) + spare
