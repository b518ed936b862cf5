"""Keep free keys bound once, also if the store lost some bindings.

A store that comes back from an older copy lacks the bindings written since.
The first entry that sees a shard in the new era marks since when the shard
has every binding; a key that may be older, and that nobody knows as bound,
is not bound again.
"""

from collections import abc

from zinnialead_core.components.keys import const
from zinnialead_core.components.keys import issued_keys
from zinnialead_core.components.keys import models
from zinnialead_core.components import store
from zinnialead_core.components.store import const as store_const
from zinnialead_core.components.store import eras
from zinnialead_core import ids
from zinnialead_core import timers
from zinnialead_core import world as world_module

Bindings = dict[ids.Key, ids.Key]


def is_current(world: world_module.World, shard: models.ShardRow) -> bool:
    """Return whether a shard may be written at its version."""
    return shard.is_loaded and shard.era == eras.current(world)


def is_marked(world: world_module.World, shard: models.ShardRow) -> bool:
    """Return whether it is known since when a shard has every binding."""
    era = eras.current(world)
    if era <= store_const.FIRST_ERA:
        return True
    return shard.mark is not None and shard.mark.era >= era


def new_mark(
    world: world_module.World, now_ms: float, shard: models.ShardRow
) -> store.ShardMark | None:
    """Return the mark to write with a shard."""
    if is_marked(world, shard):
        return shard.mark
    return store.ShardMark(eras.current(world), now_ms)


def may_bind(
    now_ms: float, claim: models.ClaimRow, shard: models.ShardRow
) -> bool:
    """Return whether no binding of a claim's key can have been lost."""
    if shard.mark is None:
        return True
    from_ms = shard.mark.complete_from_ms
    safe_from_ms = from_ms + 2 * const.CLOCK_MARGIN_MS
    if claim.created_ms is not None and claim.created_ms >= safe_from_ms:
        return True
    # By then the registrars would refuse any key that was issued before.
    expiry_ms = const.KEY_LIFETIME_MS + 4 * const.CLOCK_MARGIN_MS
    return now_ms >= from_ms + expiry_ms


def loaded(
    world: world_module.World,
    now_ms: float,
    shard: models.ShardRow,
    found: Bindings,
    version: int | None,
    mark: store.ShardMark | None,
) -> models.ShardRow:
    """Return a shard with what the store has and what is known besides."""
    rows = _merge(now_ms, shard.rows, found)
    lost = rows.keys() - found.keys()
    was_restored = eras.current(world) > store_const.FIRST_ERA
    return shard._replace(
        rows=rows,
        is_loaded=True,
        version=version,
        era=eras.current(world),
        mark=mark,
        is_unsaved=was_restored and bool(lost),
    )


def trusted(
    world: world_module.World,
    shard: models.ShardRow,
    found: Bindings,
    waiting: abc.Set[ids.Key],
) -> Bindings:
    """Return the bindings after a write, less those that it should not make.

    A write of a past era may succeed at a version that was given out again.
    """
    if shard.era == eras.current(world):
        return found
    return {
        key: bound
        for key, bound in found.items()
        if key in shard.rows or key not in waiting
    }


def needs_saving(world: world_module.World, shard: models.ShardRow) -> bool:
    """Return whether the store may lack bindings that are known here."""
    if not shard.rows or eras.current(world) <= store_const.FIRST_ERA:
        return False
    is_saved = is_current(world, shard) and is_marked(world, shard)
    return shard.is_unsaved or not is_saved


def plan_saving(world: world_module.World, now_ms: float) -> None:
    """Plan to write bindings back that the store may have lost."""
    for number, shard in world.bindings.items():
        if needs_saving(world, shard):
            delay_ms = const.RESTORE_JITTER_MS * world.random.random()
            timer = timers.BindDue(number)
            timers.start(world.timers, timer, now_ms + delay_ms)


def _merge(now_ms: float, known: Bindings, found: Bindings) -> Bindings:
    """Return all bindings, of each key the one that was issued last."""
    rows = dict(found)
    for key, bound in known.items():
        if issued_keys.is_past_expiry(bound, now_ms):
            continue
        if _issued_ms(bound) > _issued_ms(rows.get(key)):
            rows[key] = bound
    return rows


def _issued_ms(bound: ids.Key | None) -> float:
    issued_key = None if bound is None else issued_keys.parse(bound)
    return -1.0 if issued_key is None else issued_key.issued_ms
