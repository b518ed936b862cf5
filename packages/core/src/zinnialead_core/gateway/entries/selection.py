"""Name the entries that callers should use."""

from zinnialead_core.gateway.entries import const
from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.entries import models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def addresses(
    world: world_module.World,
    now_ms: float,
    domain: ids.DomainId | None,
    region: ids.RegionId | None,
) -> list[str]:
    """Return which entries a caller should use, those nearest to it.

    Its own domain's where enough of them live, else its region's, else
    any that live, else this entry.
    """
    live = [
        row
        for row in world.entries.rows.values()
        if members.is_live(world, now_ms, row)
    ]
    near = [row for row in live if row.domain == domain]
    if len(near) < const.DOMAIN_ENTRIES_MIN:
        near = [row for row in live if row.region == region]
    chosen = _strong_enough(world, near or live)
    world.random.shuffle(chosen)
    named = [row.front_address for row in chosen[: const.ADDRESSES_MAX]]
    return named or [world.node.front_address]


def _strong_enough(
    world: world_module.World, rows: list[models.EntryRow]
) -> list[models.EntryRow]:
    """Return the strongest entries that take all their callers easily.

    Callers spread evenly, so the weakest of them decides; entries of one
    speed are named together.  The fewer entries send, the fresher is what
    each knows of the upstreams' loads.
    """
    requests_per_s = sum(_per_s(world, row) for row in rows)
    demand = requests_per_s * const.REQUEST_COST_MS / const.MS_PER_S
    for speed in sorted({row.speed for row in rows}, reverse=True):
        chosen = [row for row in rows if row.speed >= speed]
        if len(chosen) < const.ADDRESSES_MIN:
            continue
        if demand <= const.CALLERS_SHARE_MAX * speed * len(chosen):
            return chosen
    return rows


def _per_s(world: world_module.World, row: models.EntryRow) -> float:
    if row.entry == world.node.ref.entry:
        return world.entries.traffic[0].requests_per_s
    heard = world.entries.heartbeats.get(row.entry)
    return heard.heartbeat.requests_per_s if heard else 0.0
