"""Play planned stops: each request gets one answer, and no late surprise."""

import heapq
import itertools

import pytest

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core import verdict

STEP_MS = 40.0
# A caller may be told that its work may have run only if the entry took the
# request this early in the stop, or if the request's own time was over.
EARLY_MS = 3_000.0
TIMEOUT_MS = 30_000.0


def stopping_world(grace_ms, idempotent):
    route = samples.route(idempotent=idempotent, timeout_ms=TIMEOUT_MS)
    rows = [samples.upstream(f'u-{n}') for n in range(40)]
    world = samples.serving_world(route, upstreams_=rows)
    bounds = world.node.bounds._replace(grace_ms=grace_ms)
    return world._replace(node=world.node._replace(bounds=bounds))


def play(world, grace_ms, work_ms, deadline_ms):
    """Send requests from before a stop to its end; return their ends by id.

    Each end is when the request arrived and ended, and the refusal, if any.
    """
    events = []
    numbers = itertools.count()
    arrived_ms = {}
    ends = {}

    def schedule(due_ms, event):
        heapq.heappush(events, (due_ms, next(numbers), event))

    schedule(1_000.0, inp.StopRequested())
    request_ids = itertools.count(1)
    now_ms = 500.0
    while now_ms < 1_000.0 + grace_ms:
        arrival = samples.arrival(
            next(request_ids), key=f'{now_ms}', deadline_ms=deadline_ms
        )
        arrived_ms[arrival.request_id] = now_ms
        schedule(now_ms, arrival)
        now_ms += STEP_MS
    while events or gateway.next_due_ms(world) is not None:
        timer_ms = gateway.next_due_ms(world)
        if timer_ms is not None and (not events or timer_ms < events[0][0]):
            now_ms, inputs = timer_ms, ()
        else:
            now_ms, _, event = heapq.heappop(events)
            inputs = (event,)
        for output in samples.feed(world, now_ms, *inputs):
            match output:
                case out.Dispatch():
                    done = samples.attempt_done(output, verdict.Answered(200))
                    schedule(now_ms + work_ms, done)
                case out.Relay(request_id):
                    assert request_id not in ends
                    ends[request_id] = (arrived_ms[request_id], now_ms, None)
                case out.Refuse(request_id, refusal):
                    assert request_id not in ends
                    ends[request_id] = (
                        arrived_ms[request_id],
                        now_ms,
                        refusal,
                    )
    assert ends.keys() == arrived_ms.keys()
    return ends


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('deadline_ms', [300.0, 2_000.0, 20_000.0])
@pytest.mark.parametrize('work_ms', [50.0, 1_000.0, 6_000.0])
@pytest.mark.parametrize('grace_ms', [2_000.0, 6_000.0, 10_000.0])
def test_no_request_that_comes_late_in_the_grace_is_cut(
    grace_ms, work_ms, deadline_ms, idempotent
):
    """Others took requests late in the grace and cut them at its end."""
    world = stopping_world(grace_ms, idempotent)
    ends = play(world, grace_ms, work_ms, deadline_ms)
    for arrived_ms, ended_ms, refusal in ends.values():
        assert ended_ms <= max(arrived_ms, 1_000.0 + 0.95 * grace_ms)
        if refusal is None or refusal.verdict is verdict.Verdict.NOT_RUN:
            continue
        is_over = ended_ms >= arrived_ms + deadline_ms
        assert is_over or arrived_ms <= 1_000.0 + EARLY_MS


@pytest.mark.parametrize('grace_ms', [2_000.0, 10_000.0])
def test_what_a_stop_can_not_finish_is_refused_at_once(grace_ms):
    world = stopping_world(grace_ms, idempotent=False)
    ends = play(world, grace_ms, 6_000.0, 20_000.0)
    late = [x for x in ends.values() if x[0] > 1_000.0 + 0.5 * grace_ms]
    assert late
    for arrived_ms, ended_ms, refusal in late:
        assert ended_ms == arrived_ms
        assert refusal.verdict is verdict.Verdict.NOT_RUN
