"""Write one line for each decision and each change of belief."""

import collections
import dataclasses
import os
import typing

import eliot
import msgspec
import trio

from zinnialead_core import buckets
from zinnialead_core.gateway import outputs as out
from zinnialead_gateway import engine as engines

# Lines a second and at once: about 1% of a core of the smallest machine.
LINES_PER_S_MAX = 40.0
LINES_BURST_MAX = 200.0
# Of what every request sees, a sample is enough under load.
ROUTINE_PER_S_MAX = 20.0
# Changes of belief and life-cycle lines have a budget of their own.
BELIEFS_PER_S_MAX = 20.0
KEPT_LINES_MAX = 2_000
FLUSH_PERIOD_S = 0.25
STDOUT = 1


@dataclasses.dataclass(slots=True)
class Budget:
    """Hold the lines that one sort of them may write, and how many now."""

    per_s: float
    most: float
    bucket: buckets.BucketRow


@dataclasses.dataclass(slots=True)
class Logs:
    """Hold lines that wait to be written, and their budgets."""

    entry: str
    counters: 'collections.Counter[str]'
    lines: 'collections.deque[bytes]'
    decisions: Budget
    beliefs: Budget
    routine: Budget
    rest: bytes = b''


def set_up(entry: str, counters: 'collections.Counter[str]') -> Logs:
    """Send every line of this process to standard output."""
    logs = Logs(
        entry,
        counters,
        collections.deque(),
        _full(LINES_PER_S_MAX, LINES_BURST_MAX),
        _full(BELIEFS_PER_S_MAX, LINES_BURST_MAX),
        _full(ROUTINE_PER_S_MAX, ROUTINE_PER_S_MAX),
    )
    os.set_blocking(STDOUT, False)
    eliot.add_destinations(lambda message: _keep(logs, message))
    return logs


def decision(logs: Logs, output: out.LogDecision) -> None:
    """Log a decision that touches a request."""
    budget = logs.routine if output.is_routine else logs.decisions
    if not _allowed(logs, budget):
        return
    eliot.log_message(
        message_type='decision',
        entry=logs.entry,
        request=output.name,
        decision=output.decision,
        **output.inputs,
    )


def belief(logs: Logs, output: out.LogStateChange) -> None:
    """Log a change of what the entry believes."""
    if not _allowed(logs, logs.beliefs):
        return
    eliot.log_message(
        message_type='belief',
        entry=logs.entry,
        component=output.component,
        subject=output.subject,
        before=output.before,
        after=output.after,
        cause=output.cause,
    )


def life(logs: Logs, event: str, **fields: object) -> None:
    """Log a start, stop or reload; such lines are never dropped."""
    eliot.log_message(
        message_type='life', entry=logs.entry, event=event, **fields
    )


async def run(logs: Logs) -> None:
    """Write what waits, for good."""
    while True:
        await trio.sleep(FLUSH_PERIOD_S)
        flush(logs)


def flush(logs: Logs) -> None:
    """Write what standard output takes without blocking."""
    if not logs.lines and not logs.rest:
        return
    data = logs.rest + b''.join(logs.lines)
    logs.lines.clear()
    try:
        written = os.write(STDOUT, data)
    except BlockingIOError:
        written = 0
    except OSError:
        logs.counters['logs.unwritable'] += 1
        written = len(data)
    logs.rest = data[written:]


def _keep(logs: Logs, message: dict[str, typing.Any]) -> None:
    if len(logs.lines) >= KEPT_LINES_MAX:
        logs.counters['logs.dropped'] += 1
        return
    line = msgspec.json.encode(message, enc_hook=str)
    logs.lines.append(line + b'\n')


def _full(per_s: float, most: float) -> Budget:
    return Budget(per_s, most, buckets.BucketRow(most, engines.now_ms()))


def _allowed(logs: Logs, budget: Budget) -> bool:
    taken = buckets.take(
        budget.bucket, engines.now_ms(), budget.per_s, budget.most
    )
    budget.bucket = taken.row
    if not taken.is_allowed:
        logs.counters['logs.dropped'] += 1
    return taken.is_allowed
