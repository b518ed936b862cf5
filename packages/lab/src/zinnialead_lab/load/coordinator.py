"""Play a load: callers, entries and upstreams on one mock clock."""

from collections import abc
import heapq

from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway import timers
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_lab.load import deployment
from zinnialead_lab.load import models
from zinnialead_lab.load import upstreams

# Callers honour a time to return up to this share of what they have left.
RETURN_SHARE_MAX = 1.0 / 3.0
TRIES_MAX = 2
HEARTBEAT_DELAY_MS = 50.0
# The caller gets this from an entry that knows that its request has not run.
REFUSED = 503
FAILED = 504


def play(scenario: models.Scenario) -> models.World:
    """Play a scenario until every caller has its answer."""
    world = deployment.new_world(scenario)
    for entry in world.entries:
        for timer in (timers.HeartbeatRound(), timers.BalanceRound()):
            _feed(world, 0.0, entry, inp.TimerDue(timer))
    for caller in _draw_callers(world):
        schedule(world, caller.sent_ms, models.CallerSends(caller))
    end_ms = scenario.length_ms + max(x.deadline_ms for x in scenario.kinds)
    while world.events:
        now_ms, _, event = heapq.heappop(world.events)
        if now_ms > end_ms:
            break
        _handle(world, now_ms, event)
    return world


def schedule(world: models.World, due_ms: float, event: models.Event) -> None:
    """Add an event at a time."""
    world.counters['events'] += 1
    heapq.heappush(world.events, (due_ms, world.counters['events'], event))


def _handle(world: models.World, now_ms: float, event: models.Event) -> None:
    match event:
        case models.CallerSends(caller):
            _send(world, now_ms, caller)
        case models.AttemptReaches(job):
            _schedule_all(world, upstreams.receive(world, now_ms, job))
        case models.WorkEnds(job):
            _schedule_all(world, upstreams.finish(world, now_ms, job))
        case models.InputArrives(entry, received):
            _feed(world, now_ms, entry, received)
        case models.TimerFires(entry):
            _feed(world, now_ms, entry)


def _schedule_all(
    world: models.World, events: abc.Iterable[tuple[float, models.Event]]
) -> None:
    for due_ms, event in events:
        schedule(world, due_ms, event)


def _draw_callers(world: models.World) -> abc.Iterator[models.CallerRow]:
    """Yield the callers' requests, at random times by their kind's rate."""
    scenario = world.scenario
    number = 0
    for kind in scenario.kinds:
        for region in world.regions:
            now_ms = 0.0
            while now_ms < scenario.length_ms:
                per_ms = kind.per_s * _burst_factor(scenario, kind, now_ms)
                now_ms += world.random.expovariate(per_ms / 1_000.0)
                number += 1
                key = f'{kind.name}-{world.random.randrange(kind.objects)}'
                yield models.CallerRow(number, kind, region, key, now_ms)


def _burst_factor(
    scenario: models.Scenario, kind: models.KindRow, now_ms: float
) -> float:
    factor = 1.0
    for burst in scenario.bursts:
        if burst.kind == kind.name and burst.start_ms <= now_ms < burst.end_ms:
            factor *= burst.factor
    return factor


def _send(
    world: models.World, now_ms: float, caller: models.CallerRow
) -> None:
    entry = world.random.choice(world.regions[caller.region])
    caller = caller._replace(tries=caller.tries + 1, try_ms=now_ms)
    request_id = ids.RequestId(caller.number * TRIES_MAX + caller.tries)
    world.pending[(entry, request_id)] = caller
    arrival = inp.RequestArrived(
        request_id,
        f'{caller.number}-{caller.tries}',
        deployment.HOST,
        f'/{caller.kind.name}/1',
        caller.object_key,
        caller.sent_ms + caller.kind.deadline_ms - now_ms,
        0,
    )
    _feed(world, now_ms, entry, arrival)


def _feed(
    world: models.World, now_ms: float, entry: str, *inputs: inp.Input
) -> None:
    """Run an entry's tick and carry out its outputs."""
    core = world.entries[entry]
    for output in list(gateway.tick(core, now_ms, inputs)):
        _carry_out(world, now_ms, entry, output)
    due_ms = gateway.next_due_ms(core)
    if due_ms is not None:
        schedule(world, max(due_ms, now_ms), models.TimerFires(entry))


def _carry_out(
    world: models.World, now_ms: float, entry: str, output: out.Output
) -> None:
    match output:
        case out.Dispatch(request_id):
            caller = world.pending[(entry, request_id)]
            delay_ms = deployment.delay_ms(
                world, caller.region, output.upstream
            )
            job = models.JobRow(entry, output, caller, now_ms + delay_ms)
            schedule(world, job.reached_ms, models.AttemptReaches(job))
        case out.CancelAttempt(request_id, attempt):
            upstreams.cancel(world, entry, request_id)
            lost = inp.AttemptDone(
                request_id, attempt, verdict.Lost('cancelled'), cancelled=True
            )
            schedule(world, now_ms, models.InputArrives(entry, lost))
        case out.SendHeartbeat(addresses, heartbeat):
            received = inp.HeartbeatReceived(heartbeat)
            for address in addresses:
                arrival = models.InputArrives(
                    deployment.entry_at(address), received
                )
                schedule(world, now_ms + HEARTBEAT_DELAY_MS, arrival)
        case out.Relay(request_id):
            _end(world, now_ms, entry, request_id, 200)
        case out.Refuse(request_id, refusal):
            _refuse(world, now_ms, entry, request_id, refusal)


def _refuse(
    world: models.World,
    now_ms: float,
    entry: str,
    request_id: ids.RequestId,
    refusal: verdict.Refusal,
) -> None:
    """End a request, or let its caller return as it was told to."""
    caller = world.pending[(entry, request_id)]
    not_run = refusal.verdict is verdict.Verdict.NOT_RUN
    if not_run and caller.tries < TRIES_MAX:
        left_ms = caller.sent_ms + caller.kind.deadline_ms - now_ms
        wait_ms = min(refusal.retry_after_ms, RETURN_SHARE_MAX * left_ms)
        del world.pending[(entry, request_id)]
        world.counters[f'returned.{caller.kind.name}'] += 1
        schedule(world, now_ms + wait_ms, models.CallerSends(caller))
        return
    status = REFUSED if not_run else FAILED
    _end(world, now_ms, entry, request_id, status)


def _end(
    world: models.World,
    now_ms: float,
    entry: str,
    request_id: ids.RequestId,
    status: int,
) -> None:
    caller = world.pending.pop((entry, request_id))
    held_ms = now_ms - caller.try_ms
    world.results.append(models.ResultRow(caller, status, now_ms, held_ms))
