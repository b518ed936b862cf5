"""Test that a stop ends in time, with an answer for every request."""

from core import samples

import zinnialead_core as core
from zinnialead_core.components.requests import const
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict

GRACE_MS = const.STOP_GRACE_MS


def tick(world, now_ms, *inputs):
    return list(core.tick(world, now_ms, inputs))


def run_until_stopped(world, outputs=()):
    """Return the time of each output until the entry has stopped."""
    timed = []
    while not any(output == out.Stopped() for _, output in timed):
        now_ms = core.next_due_ms(world)
        timed += [(now_ms, output) for output in tick(world, now_ms)]
    return timed


def refusals(timed):
    return {
        output.request_id: (now_ms, output.refusal)
        for now_ms, output in timed
        if isinstance(output, out.Refuse)
    }


def booking(number):
    key = samples.issued_key(f'n{number}')
    return samples.request(number, 'intake', key=key, deadline_ms=30_000.0)


def test_every_request_is_answered_before_the_grace_period_ends():
    world = samples.world(slots=1)
    found = [
        *(samples.request(n, deadline_ms=30_000.0) for n in (1, 2)),
        *(booking(n) for n in (3, 4)),
    ]
    outputs = tick(world, 0.0, *found)
    sent = {x.request_id for x in outputs if isinstance(x, out.Dispatch)}
    assert sent == {1, 3}
    tick(world, 1.0, inp.StopRequested())
    timed = run_until_stopped(world)
    assert timed[-1] == (timed[-1][0], out.Stopped())
    assert timed[-1][0] < 1.0 + GRACE_MS
    answered = refusals(timed)
    assert sorted(answered) == [1, 2, 3, 4]
    for number, (now_ms, refusal) in answered.items():
        assert now_ms <= 1.0 + GRACE_MS - const.STOP_RESERVE_MS
        if number in sent:
            assert refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
            assert refusal.reason is verdict.Reason.STOP_ENDED
        else:
            assert refusal.verdict is verdict.Verdict.NOT_RUN
            assert refusal.reason is verdict.Reason.STOPPING
    logged = {x.subject for _, x in timed if isinstance(x, out.LogChange)}
    assert logged == {f'entry-1.1.{number}' for number in (1, 2, 3, 4)}
    assert not world.requests.rows


def done(number, now_ms, elapsed_ms):
    outcome = verdict.Answered(200)
    return inp.DispatchDone(number, 1, outcome, elapsed_ms)


def world_with_grace(grace_ms):
    world = samples.world(slots=1)
    node = world.node._replace(stop_grace_ms=grace_ms)
    return world._replace(node=node)


def run_until(world, until_ms):
    timed = []
    while core.next_due_ms(world) < until_ms:
        now_ms = core.next_due_ms(world)
        timed += [(now_ms, output) for output in tick(world, now_ms)]
    return timed


def test_work_that_cannot_end_before_the_process_is_not_sent():
    world = world_with_grace(6_000.0)
    requests = [samples.request(n, deadline_ms=30_000.0) for n in (1, 2)]
    tick(world, 0.0, *requests)
    tick(world, 0.0, inp.StopRequested())
    # Answers are due at 4,000 ms and the usual work takes 20 ms.
    timed = run_until(world, 3_985.0)
    outputs = tick(world, 3_985.0, done(1, 3_985.0, 100.0))
    timed += [(3_985.0, output) for output in outputs]
    assert not [x for _, x in timed if isinstance(x, out.Dispatch)]
    now_ms, refusal = refusals(timed)[2]
    assert now_ms == 3_980.0
    assert refusal.reason is verdict.Reason.STOPPING
    assert refusal.verdict is verdict.Verdict.NOT_RUN


def test_work_that_usually_takes_longer_than_the_time_left_is_not_sent():
    world = world_with_grace(6_000.0)
    now_ms = 0.0
    for number in range(10):
        deadline_ms = now_ms + 30_000.0
        tick(world, now_ms, samples.request(number, deadline_ms=deadline_ms))
        now_ms += 2_500.0
        tick(world, now_ms, done(number, now_ms, 2_500.0))
    deadline_ms = now_ms + 30_000.0
    for number in (10, 11):
        request = samples.request(number, deadline_ms=deadline_ms)
        tick(world, now_ms, request)
    tick(world, now_ms, inp.StopRequested())
    late_ms = now_ms + 4_000.0 - 2_100.0
    timed = run_until(world, late_ms)
    outputs = tick(world, late_ms, done(10, late_ms, 1_900.0))
    timed += [(late_ms, output) for output in outputs]
    assert not [x for _, x in timed if isinstance(x, out.Dispatch)]
    assert refusals(timed)[11][1].reason is verdict.Reason.STOPPING


def test_work_that_ends_by_its_own_deadline_is_sent_during_a_stop():
    world = world_with_grace(6_000.0)
    requests = [samples.request(n, deadline_ms=3_950.0) for n in (1, 2)]
    tick(world, 0.0, *requests)
    tick(world, 0.0, inp.StopRequested())
    run_until(world, 3_900.0)
    outputs = tick(world, 3_900.0, done(1, 3_900.0, 100.0))
    [dispatch] = [x for x in outputs if isinstance(x, out.Dispatch)]
    assert (dispatch.request_id, dispatch.deadline_ms) == (2, 3_950.0)


def test_a_ticket_during_a_stop_leaves_no_request_without_an_answer():
    world = world_with_grace(6_000.0)
    requests = [samples.request(n, deadline_ms=30_000.0) for n in (1, 2)]
    tick(world, 0.0, *requests)
    tick(world, 0.0, inp.StopRequested())
    state = samples.state(slots=1, number=2)
    short = state.services['intake']._replace(deadline_max_ms=1.0)
    state = state._replace(services={'intake': short}, upstreams={})
    outputs = tick(world, 1.0, inp.StateRead(state))
    [refused] = [x for x in outputs if isinstance(x, out.Refuse)]
    assert refused.request_id == 2
    assert refused.refusal.verdict is verdict.Verdict.NOT_RUN
    outputs = tick(world, 100.0, done(1, 100.0, 100.0))
    assert outputs == [out.Relay(1, 1), out.Stopped()]


def test_a_second_request_to_stop_does_not_extend_the_first():
    world = world_with_grace(6_000.0)
    tick(world, 0.0, samples.request(1, deadline_ms=30_000.0))
    tick(world, 0.0, inp.StopRequested())
    assert not refusals([(0.0, x) for x in run_until(world, 3_000.0)])
    assert tick(world, 3_000.0, inp.StopRequested()) == []
    timed = run_until_stopped(world)
    assert refusals(timed)[1][0] == 4_000.0
    assert timed[-1][0] == 5_000.0


def test_a_forced_stop_answers_every_request_in_its_tick():
    world = world_with_grace(6_000.0)
    found = [samples.request(1), samples.request(2), booking(3), booking(4)]
    tick(world, 0.0, *found)
    tick(world, 1.0, inp.StopRequested())
    outputs = tick(world, 2.0, inp.StopForced())
    verdicts = {
        x.request_id: x.refusal.verdict
        for x in outputs
        if isinstance(x, out.Refuse)
    }
    ran, not_run = verdict.Verdict.MAY_HAVE_RUN, verdict.Verdict.NOT_RUN
    assert verdicts == {1: ran, 2: not_run, 3: ran, 4: not_run}
    assert outputs[-1] == out.Stopped()
    [refuse] = tick(world, 3.0, samples.request(5))
    assert refuse.refusal.reason is verdict.Reason.STOPPING


def test_work_that_was_lost_before_its_retry_may_have_run_in_a_stop():
    world = world_with_grace(6_000.0)
    world.requests.retry_tokens['pricebook'] = 1.0
    tick(world, 0.0, samples.request(1, deadline_ms=30_000.0))
    lost = inp.DispatchDone(1, 1, verdict.Lost('cut'), 10.0)
    tick(world, 1.0, samples.request(2, deadline_ms=30_000.0), lost)
    outputs = tick(world, 2.0, inp.StopRequested(), inp.StopForced())
    refusal = refusals([(2.0, x) for x in outputs])[1][1]
    assert refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert refusal.reason is verdict.Reason.STOP_ENDED
    [line] = [
        x
        for x in outputs
        if isinstance(x, out.LogChange) and x.subject == 'entry-1.1.1'
    ]
    assert line.after == 'ended by the stop, may-have-run'
