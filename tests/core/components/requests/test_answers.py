"""Stream answers without a retry once they began."""

from core import samples
import zinnialead_core as core
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict


def tick(world, *inputs):
    return list(core.tick(world, 10.0, inputs))


def test_an_answer_that_began_is_relayed_once():
    world = samples.world()
    tick(world, samples.request(1))
    assert tick(world, inp.AnswerStarted(1, 1)) == [out.Relay(1, 1)]
    assert tick(world, inp.DispatchDone(1, 1, verdict.Answered(200))) == []
    assert not world.requests.rows


def test_an_answer_cut_short_is_not_tried_again():
    world = samples.world()
    tick(world, samples.request(1))
    tick(world, inp.AnswerStarted(1, 1))
    (refuse,) = tick(world, inp.DispatchDone(1, 1, verdict.Lost('cut')))
    assert refuse.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN


def test_an_answer_that_began_too_late_is_cancelled():
    world = samples.world()
    assert tick(world, inp.AnswerStarted(9, 1)) == [out.CancelDispatch(9, 1)]
