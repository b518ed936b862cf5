"""Select the entries that callers should use."""

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
    """Return the addresses of the entries that a caller should use.

    They are the live entries of the caller's domain if there are enough,
    else those of its region, else all live ones, else this entry.
    """
    live = [
        row
        for row in world.entries.rows.values()
        if members.is_live(world, now_ms, row)
    ]
    local = [row for row in live if row.domain == domain]
    if len(local) < const.DOMAIN_ENTRIES_MIN:
        local = [row for row in live if row.region == region]
    selected = _fastest_sufficient(world, local or live)
    world.random.shuffle(selected)
    fronts = [row.front_address for row in selected[: const.ADDRESSES_MAX]]
    return fronts or [world.node.front_address]


def _fastest_sufficient(
    world: world_module.World, rows: list[models.EntryRow]
) -> list[models.EntryRow]:
    """Return the fastest entries that can serve the callers of ``rows``.

    Callers spread evenly, so the slowest selected entry limits them all;
    entries of equal speed are selected together.  The fewer entries send
    requests, the fresher each one's view of the upstreams' loads is.
    """
    requests_per_s = sum(_requests_per_s(world, row) for row in rows)
    demand_s_per_s = requests_per_s * const.REQUEST_COST_MS / const.MS_PER_S
    for speed in sorted({row.speed for row in rows}, reverse=True):
        selected = [row for row in rows if row.speed >= speed]
        if len(selected) < const.ADDRESSES_MIN:
            continue
        if demand_s_per_s <= const.CALLERS_SHARE_MAX * speed * len(selected):
            return selected
    return rows


def _requests_per_s(world: world_module.World, row: models.EntryRow) -> float:
    if row.entry == world.node.ref.entry:
        return world.entries.traffic[0].requests_per_s
    last = world.entries.heartbeats.get(row.entry)
    return last.heartbeat.requests_per_s if last else 0.0
