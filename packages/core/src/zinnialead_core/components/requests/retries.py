"""Decide whether and when to retry a failed attempt."""

from zinnialead_core.components.requests import const
from zinnialead_core.components.requests import models
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def add_tokens(world: world_module.World, service: ids.ServiceId) -> None:
    """Add the tokens of a request's first attempt to the retry budget.

    Requests refused before an attempt add none, so that an overload does
    not fill the budget.
    """
    tokens = world.requests.retry_tokens
    balance = (
        tokens.get(service, const.RETRY_TOKENS_START)
        + const.RETRY_TOKENS_PER_REQUEST
    )
    tokens[service] = min(const.RETRY_TOKENS_MAX, balance)


def delay_ms(
    world: world_module.World,
    now_ms: float,
    row: models.RequestRow,
    outcome: verdict.Outcome,
) -> float | None:
    """Take a token and return the retry's delay, None for no retry."""
    may_repeat = row.idempotent or row.worst_verdict is verdict.Verdict.NOT_RUN
    if not may_repeat or not row.replayable or row.caller_gone:
        return None
    if row.phase is models.Phase.ANSWER:
        return None
    if row.attempt >= const.ATTEMPTS_MAX:
        return None
    tokens = world.requests.retry_tokens
    if tokens.get(row.service, const.RETRY_TOKENS_START) < 1.0:
        world.counters['requests.retry_budget_empty'] += 1
        return None
    pause_ms = _backoff_ms(world, row.attempt, outcome)
    if now_ms + pause_ms >= row.deadline_ms:
        return None
    tokens[row.service] -= 1.0
    world.counters['requests.retried'] += 1
    return pause_ms


def _backoff_ms(
    world: world_module.World, attempt: int, outcome: verdict.Outcome
) -> float:
    ceiling_ms = min(
        const.RETRY_BACKOFF_MAX_MS, const.RETRY_BACKOFF_MS * 2**attempt
    )
    pause_ms = world.random.uniform(0.0, ceiling_ms)
    match outcome:
        case verdict.Shed(retry_after_ms):
            return max(pause_ms, retry_after_ms)
        case _:
            return pause_ms
