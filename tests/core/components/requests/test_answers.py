"""Test that started answers are streamed and not retried."""

from core import samples
import zinnialead_core as core
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict


def tick(world, *inputs):
    return list(core.tick(world, 10.0, inputs))


def test_a_started_answer_is_relayed_once():
    world = samples.world()
    tick(world, samples.request(1))
    assert tick(world, inp.AnswerStarted(1, 1)) == [out.Relay(1, 1)]
    assert tick(world, inp.DispatchDone(1, 1, verdict.Answered(200))) == []
    assert not world.requests.rows


def test_an_interrupted_answer_is_not_retried():
    world = samples.world()
    tick(world, samples.request(1))
    tick(world, inp.AnswerStarted(1, 1))
    (refuse,) = tick(world, inp.DispatchDone(1, 1, verdict.Lost('cut')))
    assert refuse.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_an_answer_that_starts_too_late_is_cancelled():
    world = samples.world()
    assert tick(world, inp.AnswerStarted(9, 1)) == [out.CancelDispatch(9, 1)]
