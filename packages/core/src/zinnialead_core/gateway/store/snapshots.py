"""Answer the requests of other entries for snapshots of objects."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway.store import eras
from zinnialead_core.gateway.store import health
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import positions
from zinnialead_core.gateway import world as world_module


def snapshot_request(
    world: world_module.World, kinds: tuple[models.Kind, ...]
) -> models.SnapshotRequest:
    """Return the request for what this entry does not know of some kinds."""
    return models.SnapshotRequest(
        kinds,
        tuple(_known_or_nothing(world, kind) for kind in kinds),
        eras.current(world),
    )


def _known_or_nothing(world: world_module.World, kind: models.Kind) -> int:
    is_synced = world.store.watches[kind].synced_revision is not None
    return positions.known(world, kind) if is_synced else -1


def snapshots(
    world: world_module.World, now_ms: float, request: models.SnapshotRequest
) -> abc.Iterator[inp.PeerSnapshot]:
    """Yield the requested snapshots that tell the requesting entry more."""
    known = dict(zip(request.kinds, request.known_revisions, strict=False))
    for kind in request.kinds:
        found = snapshot(world, now_ms, kind)
        if found is None:
            continue
        is_same_era = kind is models.Kind.CONFIGURATION or (
            request.era == found.era
        )
        synced_revision = max(found.latest_revision, found.synced_revision)
        if not is_same_era or synced_revision > known.get(kind, -1):
            yield found


def snapshot(
    world: world_module.World, now_ms: float, kind: models.Kind
) -> inp.PeerSnapshot | None:
    """Return this entry's objects of a kind, None before it has them all."""
    row = world.store.watches[kind]
    if row.synced_revision is None:
        return None
    return inp.PeerSnapshot(
        kind,
        positions.latest(world, kind),
        tuple(_snapshot_items(world, kind)),
        str(world.node.ref.entry),
        positions.known(world, kind),
        health.removal_delay_ms(world, now_ms),
        eras.current(world),
    )


def _snapshot_items(
    world: world_module.World, kind: models.Kind
) -> abc.Iterator[inp.Input]:
    match kind:
        case models.Kind.UPSTREAMS:
            table = world.upstreams
            rows = {
                upstream: row
                for upstream, row in table.rows.items()
                if upstream not in table.expiring
            }
            # Each entry doubts on its own what the store shows.
            rows.update(table.doubtful)
            yield from map(inp.UpstreamRegistered, rows.values())
        case models.Kind.DRAINS:
            table = world.upstreams
            drained = table.drained - table.expiring_drains
            yield from map(inp.DrainAdded, drained)
        case models.Kind.ENTRIES:
            yield from map(inp.EntryRegistered, world.entries.rows.values())
        case models.Kind.CONFIGURATION:
            active = world.routes.active.get(routes.ACTIVE)
            source = str(world.node.ref.entry)
            if active:
                yield inp.ConfigurationRead(active, source)
