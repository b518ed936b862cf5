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
