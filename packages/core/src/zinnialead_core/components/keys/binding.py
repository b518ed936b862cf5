"""Bind free keys, which callers chose, to issued keys in the store."""

from collections import abc

import xxhash

from zinnialead_core.components.keys import claims
from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import issued_keys
from zinnialead_core.components.keys import models
from zinnialead_core.components.keys import restores
from zinnialead_core.components.lookups import selection
from zinnialead_core.components import store
from zinnialead_core.components.store import eras
from zinnialead_core.components.store import limits
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

Rows = tuple[store.BindingRow, ...]
EMPTY_SHARD = models.ShardRow({}, False, None, None, 0.0, ())
UNDECIDED = models.denied(
    verdict.Verdict.MAY_HAVE_RUN,
    verdict.Reason.KEY_UNDECIDED,
    'the key could not be bound to registrars',
)
FULL = models.denied(
    verdict.Verdict.MAY_HAVE_RUN,
    verdict.Reason.KEYS_FULL,
    'too many keys wait for a binding',
)
TOO_LONG = models.denied(
    verdict.Verdict.NOT_RUN,
    verdict.Reason.BAD_REQUEST,
    f'a key has at most {const.NONCE_MAX_CHARS} characters',
)
LOST = models.denied(
    verdict.Verdict.MAY_HAVE_RUN,
    verdict.Reason.KEY_UNDECIDED,
    'the store was restored and may have lost what the key was bound to',
)
EXPIRED = models.denied(
    verdict.Verdict.MAY_HAVE_RUN,
    verdict.Reason.KEY_EXPIRED,
    'the key is not within its lifetime',
)


def start_claim(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    """Claim a free key through the issued key that it is bound to.

    If it is not bound yet, the claim waits until the store has the binding.
    """
    number = _shard_number(claim.key)
    shard = world.bindings.get(number, EMPTY_SHARD)
    denial = _denial(world, now_ms, claim, shard)
    if denial is LOST:
        # Another entry may have written the binding back.
        shard = shard._replace(is_loaded=False)
    elif denial is not None:
        yield out.Notify(inp.ClaimDenied(claim.request_id, denial))
        return
    if _is_bound(shard, claim.key, now_ms):
        yield from _start_bound_claim(world, now_ms, claim, shard)
        return
    if len(shard.waiting) >= const.BIND_WAITING_MAX:
        yield out.Notify(inp.ClaimDenied(claim.request_id, FULL))
        return
    world.claims[claim.request_id] = claim
    waiting = (*shard.waiting, claim.request_id)
    world.bindings[number] = shard._replace(waiting=waiting)
    if shard.call_id is not None and now_ms <= shard.call_timeout_ms:
        return
    if timers.BindDue(number) not in world.timers.due_ms:
        yield from _call_store(world, now_ms, number)


def on_store_done(
    world: world_module.World,
    now_ms: float,
    call_id: int,
    result: store.Result,
    era: int,
) -> abc.Iterator[out.Output]:
    """Apply the result of a store call to its shard."""
    for number, shard in world.bindings.items():
        if shard.call_id == call_id:
            if eras.is_past(world, era):
                # What it found or wrote may be lost: read the shard again.
                result = store.Conflict(result.name)
            yield from _apply_result(world, now_ms, number, result)
            return


def on_retry_due(
    world: world_module.World, now_ms: float, number: int
) -> abc.Iterator[out.Output]:
    """Make a store call that was delayed, or write lost bindings back."""
    shard = world.bindings.get(number, EMPTY_SHARD)
    is_needed = any(_waiting_claims(world, shard)) or restores.needs_saving(
        world, shard
    )
    if shard.call_id is None and is_needed:
        yield from _call_store(world, now_ms, number)


def _apply_result(
    world: world_module.World,
    now_ms: float,
    number: int,
    result: store.Result,
) -> abc.Iterator[out.Output]:
    shard = world.bindings[number]
    was_write = shard.is_writing
    shard = shard._replace(call_id=None, is_writing=False)
    match result:
        case store.FoundBindings(_, rows, version, mark):
            found = {x.key: x.issued for x in rows}
            if was_write:
                waiting = {x.key for x in _waiting_claims(world, shard)}
                found = restores.trusted(world, shard, found, waiting)
            shard = restores.loaded(world, now_ms, shard, found, version, mark)
        case store.Missing():
            shard = restores.loaded(world, now_ms, shard, {}, None, None)
        case store.Conflict():
            shard = shard._replace(is_loaded=False)
        case _ if was_write:
            # The write may have taken effect: read the shard again.
            shard = shard._replace(is_loaded=False)
        case _:
            world.bindings[number] = shard
            yield from _deny_waiting(world, number, UNDECIDED)
            if restores.needs_saving(world, shard):
                due = timers.BindDue(number)
                timers.start(
                    world.timers, due, now_ms + const.RESTORE_RETRY_MS
                )
            return
    world.bindings[number] = shard
    yield from _resolve(world, now_ms, number)


def _resolve(
    world: world_module.World, now_ms: float, number: int
) -> abc.Iterator[out.Output]:
    """Start the waiting claims that are bound now, and bind the others."""
    shard = world.bindings[number]
    still_waiting: list[ids.RequestId] = []
    for claim in _waiting_claims(world, shard):
        denial = _denial(world, now_ms, claim, shard)
        if denial is not None:
            del world.claims[claim.request_id]
            yield out.Notify(inp.ClaimDenied(claim.request_id, denial))
        elif _is_bound(shard, claim.key, now_ms):
            yield from _start_bound_claim(world, now_ms, claim, shard)
        else:
            still_waiting.append(claim.request_id)
    shard = shard._replace(waiting=tuple(still_waiting))
    world.bindings[number] = shard
    if still_waiting or restores.needs_saving(world, shard):
        yield from _call_store(world, now_ms, number)


def _call_store(
    world: world_module.World, now_ms: float, number: int
) -> abc.Iterator[out.Output]:
    shard = world.bindings[number]
    name = f'keys-{number}'
    call: store.Call = store.ReadBindings(name)
    is_write = restores.is_current(world, shard)
    if is_write:
        rows = _rows_with_new_bindings(world, now_ms, shard)
        if len(rows) > const.SHARD_ROWS_MAX:
            yield from _deny_waiting(world, number, FULL)
            return
        mark = restores.new_mark(world, now_ms, shard)
        call = store.WriteBindings(name, rows, shard.version, mark)
    store_call = limits.open_call(world, now_ms, call, const.BIND_TIMEOUT_MS)
    if store_call is None:
        # Over budget: a later call writes all waiting bindings at once.
        delay_ms = const.RESTORE_RETRY_MS
        if any(_waiting_claims(world, shard)):
            delay_ms = const.BIND_RETRY_MS
        due = timers.BindDue(number)
        timers.start(world.timers, due, now_ms + delay_ms)
        return
    world.bindings[number] = shard._replace(
        call_id=store_call.call_id,
        call_timeout_ms=store_call.deadline_ms + const.CLOCK_MARGIN_MS,
        is_writing=is_write,
    )
    yield store_call


def _rows_with_new_bindings(
    world: world_module.World, now_ms: float, shard: models.ShardRow
) -> Rows:
    bindings = {
        key: bound
        for key, bound in shard.rows.items()
        if not issued_keys.is_past_expiry(bound, now_ms)
    }
    home = world.node.ref
    # Which keys may be bound is known once the shard has its mark.
    claims_to_bind = (
        _waiting_claims(world, shard)
        if restores.is_marked(world, shard)
        else ()
    )
    for claim in claims_to_bind:
        rotation = xxhash.xxh3_64_intdigest(claim.key.encode())
        witness = selection.choose_witness(
            world, home, world.node.domain, rotation
        )
        prefix = issued_keys.prefix(home, witness, now_ms)
        bindings.setdefault(claim.key, ids.Key(f'{prefix}.{claim.key}'))
    return tuple(store.BindingRow(*item) for item in bindings.items())


def _start_bound_claim(
    world: world_module.World,
    now_ms: float,
    claim: models.ClaimRow,
    shard: models.ShardRow,
) -> abc.Iterator[out.Output]:
    bound = claim._replace(key=shard.rows[claim.key])
    yield from claims.start(world, now_ms, bound)


def _deny_waiting(
    world: world_module.World, number: int, denial: models.Denied
) -> abc.Iterator[out.Output]:
    shard = world.bindings[number]
    world.bindings[number] = shard._replace(
        is_loaded=False, call_id=None, waiting=()
    )
    for claim in _waiting_claims(world, shard):
        world.counters['keys.not_bound'] += 1
        del world.claims[claim.request_id]
        yield out.Notify(inp.ClaimDenied(claim.request_id, denial))


def _waiting_claims(
    world: world_module.World, shard: models.ShardRow
) -> abc.Iterator[models.ClaimRow]:
    for request_id in shard.waiting:
        claim = world.claims.get(request_id)
        if claim is not None and claim.step is models.Step.BIND:
            yield claim


def _denial(
    world: world_module.World,
    now_ms: float,
    claim: models.ClaimRow,
    shard: models.ShardRow,
) -> models.Denied | None:
    if len(claim.key) > const.NONCE_MAX_CHARS or not claim.key:
        return TOO_LONG
    age_ms = 0.0
    if claim.created_ms is not None:
        age_ms = now_ms - claim.created_ms
    if not -2 * const.CLOCK_MARGIN_MS <= age_ms < const.KEY_LIFETIME_MS:
        return EXPIRED
    bound = shard.rows.get(claim.key)
    if bound is not None and not issued_keys.is_past_expiry(bound, now_ms):
        issued_key = issued_keys.parse(bound)
        if issued_key is None or issued_keys.is_expired(issued_key, now_ms):
            return EXPIRED
        return None
    is_known = restores.is_current(world, shard)
    if is_known and restores.is_marked(world, shard):
        return None if restores.may_bind(now_ms, claim, shard) else LOST
    return None


def _is_bound(shard: models.ShardRow, key: ids.Key, now_ms: float) -> bool:
    bound = shard.rows.get(key)
    return bound is not None and not issued_keys.is_past_expiry(bound, now_ms)


def _shard_number(key: ids.Key) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % const.SHARDS
