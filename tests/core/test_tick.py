"""Test requests from end to end through the ticks of one entry."""

from core import samples
import zinnialead_core as core
from zinnialead_core.components import keys
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict


def test_a_request_is_dispatched_and_relayed():
    world = samples.world()
    [dispatch] = core.tick(world, 0.0, [samples.request(1)])
    assert isinstance(dispatch, out.Dispatch)
    dispatch_done = inp.DispatchDone(
        1, dispatch.attempt, verdict.Answered(200)
    )
    assert list(core.tick(world, 10.0, [dispatch_done])) == [out.Relay(1, 1)]
    assert world.queues.in_use[dispatch.upstream] == 0


def test_a_key_runs_once_and_is_replayed():
    world = samples.world()
    key = samples.issued_key('k')
    first = samples.request(1, service='intake', key=key)
    [dispatch] = core.tick(world, 0.0, [first])
    second = samples.request(2, service='intake', key=key, deadline_ms=5.0)
    assert list(core.tick(world, 1.0, [second])) == []
    [refusal] = core.tick(world, 5.0, [])
    assert refusal.refusal.reason is verdict.Reason.KEY_IN_PROGRESS
    assert refusal.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
    third = samples.request(3, service='intake', key=key)
    assert list(core.tick(world, 6.0, [third])) == []
    dispatch_done = inp.DispatchDone(1, 1, verdict.Answered(201, b'booked'))
    outputs = list(core.tick(world, 10.0, [dispatch_done]))
    assert outputs == [out.Relay(1, 1), out.Replay(3, 201, b'booked')]
    late = samples.request(4, service='intake', key=key)
    [replay] = core.tick(world, 20.0, [late])
    assert replay == out.Replay(4, 201, b'booked')
    assert dispatch.idempotent is False


def test_queued_requests_are_granted_by_rank():
    world = samples.world(slots=1)
    list(core.tick(world, 0.0, [samples.request(1)]))
    later = [samples.request(2, rank='night'), samples.request(3)]
    assert list(core.tick(world, 1.0, later)) == []
    dispatch_done = inp.DispatchDone(1, 1, verdict.Answered(200))
    outputs = list(core.tick(world, 9.0, [dispatch_done]))
    assert [x.request_id for x in outputs] == [1, 3]


def test_a_deadline_in_the_queue_is_refused_as_not_run():
    world = samples.world(slots=1)
    list(core.tick(world, 0.0, [samples.request(1)]))
    late = samples.request(2, deadline_ms=50.0)
    assert list(core.tick(world, 1.0, [late])) == []
    [refusal] = core.tick(world, 50.0, [])
    assert refusal.refusal.verdict is verdict.Verdict.NOT_RUN


def test_a_stop_waits_for_work_in_flight():
    world = samples.world()
    list(core.tick(world, 0.0, [samples.request(1)]))
    stop = [inp.StopRequested()]
    assert list(core.tick(world, 1.0, stop)) == [out.StopStarted()]
    assert list(core.tick(world, 1.0, stop)) == []
    dispatch_done = inp.DispatchDone(1, 1, verdict.Answered(200))
    outputs = list(core.tick(world, 9.0, [dispatch_done]))
    assert outputs == [out.Relay(1, 1), out.Stopped()]


def test_a_refusal_before_the_key_was_checked_is_may_have_run():
    world = samples.world()
    key = samples.issued_key('k')
    for late in (
        samples.request(1, service='intake', key=key, deadline_ms=1.0),
        samples.request(2, service='other', key=key),
    ):
        [refusal] = core.tick(world, 2.0, [late])
        assert refusal.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
    late = samples.request(3, deadline_ms=1.0)
    [refusal] = core.tick(world, 2.0, [late])
    assert refusal.refusal.verdict is verdict.Verdict.NOT_RUN


def test_stopped_is_the_last_output_of_its_tick():
    world = samples.world()
    inputs = [inp.StopRequested(), samples.request(1)]
    [started, refusal, stopped] = core.tick(world, 0.0, inputs)
    assert started == out.StopStarted()
    assert isinstance(refusal, out.Refuse)
    assert stopped == out.Stopped()


def test_a_stop_waits_until_registrars_acknowledge_the_end():
    world = samples.world()
    registrar = ids.EntryRef('entry-2', 1)
    key = f'{keys.prefix(samples.REF, registrar, 0.0)}.n'
    list(core.tick(world, 0.0, [samples.request(1, 'intake', key=key)]))
    claim = world.claims[1]
    ask_id = ids.AskId(samples.REF, 1, 0)
    granted = keys.ClaimAnswer(claim.key, ask_id, keys.Granted())
    list(core.tick(world, 1.0, [inp.PeerMessage(registrar, granted)]))
    list(core.tick(world, 2.0, [inp.StopRequested()]))
    dispatch_done = inp.DispatchDone(1, 1, verdict.Answered(200))
    outputs = list(core.tick(world, 9.0, [dispatch_done]))
    assert out.Stopped() not in outputs
    ack = keys.ClaimEndAck(claim.key, ask_id, 1)
    outputs = list(core.tick(world, 10.0, [inp.PeerMessage(registrar, ack)]))
    assert outputs == [out.Stopped()]
