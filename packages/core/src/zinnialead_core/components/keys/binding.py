"""Bind keys that callers chose freely to issued ones, in the store."""

from collections import abc

import xxhash

from zinnialead_core.components.keys import claims
from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import issued
from zinnialead_core.components.keys import models
from zinnialead_core.components.lookups import selection
from zinnialead_core.components import store
from zinnialead_core.components.store import limits
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

Rows = tuple[store.BindingRow, ...]
EMPTY = models.ShardRow({}, False, None, None, 0.0, ())
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
EXPIRED = models.denied(
    verdict.Verdict.MAY_HAVE_RUN,
    verdict.Reason.KEY_EXPIRED,
    'the key is not within its lifetime',
)


def want(
    world: world_module.World, now_ms: float, claim: models.ClaimRow
) -> abc.Iterator[out.Output]:
    """Claim a free key by its binding, and bind it first if need be."""
    number = _shard_of(claim.key)
    shard = world.bindings.get(number, EMPTY)
    denial = _denial(now_ms, claim, shard)
    if denial is not None:
        yield out.Notify(inp.ClaimDenied(claim.request_id, denial))
        return
    if _usable(shard, claim.key, now_ms):
        yield from _begin(world, now_ms, claim, shard)
        return
    if len(shard.waiting) >= const.BIND_WAITING_MAX:
        yield out.Notify(inp.ClaimDenied(claim.request_id, FULL))
        return
    world.claims[claim.request_id] = claim
    waiting = (*shard.waiting, claim.request_id)
    world.bindings[number] = shard._replace(waiting=waiting)
    if shard.call_id is not None and now_ms <= shard.call_ends_ms:
        return
    if timers.BindDue(number) not in world.timers.due_ms:
        yield from _call(world, now_ms, number)


def on_done(
    world: world_module.World,
    now_ms: float,
    call_id: int,
    result: store.Result,
) -> abc.Iterator[out.Output]:
    """Take in a shard, and go on with the requests that wait for it."""
    for number, shard in world.bindings.items():
        if shard.call_id == call_id:
            yield from _take_in(world, now_ms, number, result)
            return


def on_due(
    world: world_module.World, now_ms: float, number: int
) -> abc.Iterator[out.Output]:
    """Call for a shard that had to wait for the store's budget."""
    shard = world.bindings.get(number, EMPTY)
    if shard.call_id is None and any(_waiting(world, shard)):
        yield from _call(world, now_ms, number)


def _take_in(
    world: world_module.World,
    now_ms: float,
    number: int,
    result: store.Result,
) -> abc.Iterator[out.Output]:
    shard = world.bindings[number]
    wrote = shard.known
    shard = shard._replace(call_id=None)
    match result:
        case store.FoundBindings(_, rows, version):
            shard = shard._replace(
                rows={x.key: x.issued for x in rows},
                known=True,
                version=version,
            )
        case store.Missing():
            shard = shard._replace(rows={}, known=True, version=None)
        case store.Conflict():
            shard = shard._replace(known=False)
        case _ if wrote:
            # The write may have taken effect: read what is there now.
            shard = shard._replace(known=False)
        case _:
            world.bindings[number] = shard
            yield from _give_up(world, number, UNDECIDED)
            return
    world.bindings[number] = shard
    yield from _resolve(world, now_ms, number)


def _resolve(
    world: world_module.World, now_ms: float, number: int
) -> abc.Iterator[out.Output]:
    """Claim by the bindings that are there now, and bind the others."""
    shard = world.bindings[number]
    left: list[ids.RequestId] = []
    for claim in _waiting(world, shard):
        denial = _denial(now_ms, claim, shard)
        if denial is not None:
            del world.claims[claim.request_id]
            yield out.Notify(inp.ClaimDenied(claim.request_id, denial))
        elif _usable(shard, claim.key, now_ms):
            yield from _begin(world, now_ms, claim, shard)
        else:
            left.append(claim.request_id)
    world.bindings[number] = shard._replace(waiting=tuple(left))
    if left:
        yield from _call(world, now_ms, number)


def _call(
    world: world_module.World, now_ms: float, number: int
) -> abc.Iterator[out.Output]:
    shard = world.bindings[number]
    name = f'keys-{number}'
    call: store.Call = store.ReadBindings(name)
    if shard.known:
        rows = _with_new(world, now_ms, shard)
        if len(rows) > const.SHARD_ROWS_MAX:
            yield from _give_up(world, number, FULL)
            return
        call = store.WriteBindings(name, rows, shard.version)
    made = limits.open_call(world, now_ms, call, const.BIND_TIMEOUT_MS)
    if made is None:
        # Over budget: what waits goes together in a later call.
        due = timers.BindDue(number)
        timers.start(world.timers, due, now_ms + const.BIND_PAUSE_MS)
        return
    world.bindings[number] = shard._replace(
        call_id=made.call_id,
        call_ends_ms=made.deadline_ms + const.CLOCK_MARGIN_MS,
    )
    yield made


def _with_new(
    world: world_module.World, now_ms: float, shard: models.ShardRow
) -> Rows:
    kept = {
        key: bound
        for key, bound in shard.rows.items()
        if not _forgotten(bound, now_ms)
    }
    home = world.node.ref
    for claim in _waiting(world, shard):
        turn = xxhash.xxh3_64_intdigest(claim.key.encode())
        other = selection.choose_witness(world, home, world.node.domain, turn)
        prefix = issued.prefix(home, other, now_ms)
        kept.setdefault(claim.key, ids.Key(f'{prefix}.{claim.key}'))
    return tuple(store.BindingRow(*item) for item in kept.items())


def _begin(
    world: world_module.World,
    now_ms: float,
    claim: models.ClaimRow,
    shard: models.ShardRow,
) -> abc.Iterator[out.Output]:
    bound = claim._replace(key=shard.rows[claim.key])
    yield from claims.begin(world, now_ms, bound)


def _give_up(
    world: world_module.World, number: int, denial: models.Denied
) -> abc.Iterator[out.Output]:
    shard = world.bindings[number]
    world.bindings[number] = shard._replace(
        known=False, call_id=None, waiting=()
    )
    for claim in _waiting(world, shard):
        world.counters['keys.not_bound'] += 1
        del world.claims[claim.request_id]
        yield out.Notify(inp.ClaimDenied(claim.request_id, denial))


def _waiting(
    world: world_module.World, shard: models.ShardRow
) -> abc.Iterator[models.ClaimRow]:
    for request_id in shard.waiting:
        claim = world.claims.get(request_id)
        if claim is not None and claim.step is models.Step.BIND:
            yield claim


def _denial(
    now_ms: float, claim: models.ClaimRow, shard: models.ShardRow
) -> models.Denied | None:
    if len(claim.key) > const.NONCE_MAX_CHARS or not claim.key:
        return TOO_LONG
    age_ms = 0.0
    if claim.created_ms is not None:
        age_ms = now_ms - claim.created_ms
    if not -2 * const.CLOCK_MARGIN_MS <= age_ms < const.KEY_LIFETIME_MS:
        return EXPIRED
    bound = shard.rows.get(claim.key)
    if bound is not None and not _forgotten(bound, now_ms):
        known = issued.parse(bound)
        if known is None or issued.expired(known, now_ms):
            return EXPIRED
    return None


def _usable(shard: models.ShardRow, key: ids.Key, now_ms: float) -> bool:
    bound = shard.rows.get(key)
    return bound is not None and not _forgotten(bound, now_ms)


def _forgotten(bound: ids.Key, now_ms: float) -> bool:
    """Say whether no registrar can grant a binding's key any more."""
    known = issued.parse(bound)
    if known is None:
        return False
    return now_ms >= issued.expires_ms(known) + const.CLOCK_MARGIN_MS


def _shard_of(key: ids.Key) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % const.SHARDS
