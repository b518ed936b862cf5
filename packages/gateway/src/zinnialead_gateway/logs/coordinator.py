"""Log decisions, state changes and life-cycle events."""

import collections
import dataclasses
import os
import time

import msgspec
import trio

from zinnialead_core import buckets
from zinnialead_core.gateway import outputs as out
from zinnialead_gateway import engine as engines

# Rate limit and burst of lines: about 1% of a core of the smallest machine.
DECISIONS_PER_S_MAX = 40.0
LINES_BURST_MAX = 200.0
# Every request has routine decisions; under load a sample is logged.
ROUTINE_PER_S_MAX = 20.0
# State changes have their own limit; life-cycle lines are not limited.
STATE_CHANGES_PER_S_MAX = 20.0
QUEUED_LINES_MAX = 2_000
FLUSH_PERIOD_S = 0.25
STDOUT = 1


@dataclasses.dataclass(slots=True)
class Budget:
    """Hold the rate limit of one category of lines and its token bucket."""

    lines_per_s: float
    burst_lines: float
    bucket: buckets.BucketRow


@dataclasses.dataclass(slots=True)
class Logs:
    """Hold the queued lines, the unwritten rest and the rate limits."""

    entry: str
    counters: 'collections.Counter[str]'
    lines: 'collections.deque[bytes]'
    decisions: Budget
    state_changes: Budget
    routine: Budget
    unwritten: bytes = b''


def set_up(entry: str, counters: 'collections.Counter[str]') -> Logs:
    """Return the logs of this process, which go to standard output."""
    os.set_blocking(STDOUT, False)
    return Logs(
        entry,
        counters,
        collections.deque(),
        _new_budget(DECISIONS_PER_S_MAX, LINES_BURST_MAX),
        _new_budget(STATE_CHANGES_PER_S_MAX, LINES_BURST_MAX),
        _new_budget(ROUTINE_PER_S_MAX, ROUTINE_PER_S_MAX),
    )


def decision(logs: Logs, output: out.LogDecision) -> None:
    """Log a decision about a request."""
    budget = logs.routine if output.is_routine else logs.decisions
    if not _take_token(logs, budget):
        return
    _enqueue(
        logs,
        'decision',
        request=output.name,
        decision=output.decision,
        **output.inputs,
    )


def state_change(logs: Logs, output: out.LogStateChange) -> None:
    """Log a change of a component's state."""
    if not _take_token(logs, logs.state_changes):
        return
    _enqueue(
        logs,
        'belief',
        component=output.component,
        subject=output.subject,
        before=output.before,
        after=output.after,
        cause=output.cause,
    )


def life_cycle(logs: Logs, event: str, **fields: object) -> None:
    """Log an event such as a start or reload, without a rate limit."""
    _enqueue(logs, 'life', event=event, **fields)


async def run(logs: Logs) -> None:
    """Write the queued lines periodically."""
    while True:
        await trio.sleep(FLUSH_PERIOD_S)
        flush(logs)


def flush(logs: Logs) -> None:
    """Write as much as standard output accepts without blocking."""
    if not logs.lines and not logs.unwritten:
        return
    data = logs.unwritten + b''.join(logs.lines)
    logs.lines.clear()
    try:
        written = os.write(STDOUT, data)
    except BlockingIOError:
        written = 0
    except OSError:
        logs.counters['logs.unwritable'] += 1
        written = len(data)
    logs.unwritten = data[written:]


def _enqueue(logs: Logs, message_type: str, **fields: object) -> None:
    """Queue a line with the time of day in s since the Unix epoch."""
    if len(logs.lines) >= QUEUED_LINES_MAX:
        logs.counters['logs.dropped'] += 1
        return
    message = {
        'message_type': message_type,
        'entry': logs.entry,
        'timestamp': time.time(),
        **fields,
    }
    line = msgspec.json.encode(message, enc_hook=str)
    logs.lines.append(line + b'\n')


def _new_budget(lines_per_s: float, burst_lines: float) -> Budget:
    return Budget(
        lines_per_s,
        burst_lines,
        buckets.BucketRow(burst_lines, engines.now_ms()),
    )


def _take_token(logs: Logs, budget: Budget) -> bool:
    result = buckets.take(
        budget.bucket, engines.now_ms(), budget.lines_per_s, budget.burst_lines
    )
    budget.bucket = result.row
    if not result.is_allowed:
        logs.counters['logs.dropped'] += 1
    return result.is_allowed
