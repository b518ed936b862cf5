"""Read the whole list of a kind page by page, and apply it."""

from collections import abc

from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway.store import peer_sync
from zinnialead_core.gateway.store import unreadable
from zinnialead_core.gateway.store import watches
from zinnialead_core.gateway import world as world_module


def apply_page(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    page: models.Listed,
) -> abc.Iterator[out.Output]:
    """Add a page to its list, and apply the list once it is complete."""
    yield from unreadable.record(world, row.kind, page.unreadable)
    # What changes while further pages are read may be missing in the first
    # ones, so that the list is as of its first page.
    revision = row.listed_revision
    if revision is None:
        revision = page.revision
    row = row._replace(
        listed_items=(*row.listed_items, *page.items),
        listed_revision=revision,
        listed_latest=max(row.listed_latest, page.latest_revision),
        failures=0,
    )
    if page.next_after is not None:
        watches.save(world, row._replace(after=page.next_after))
        watches.schedule(world, row.kind, now_ms)
        return
    if _is_outdated(row, revision):
        watches.save(world, models.reset(row)._replace(was_outdated=True))
    else:
        yield from _apply(world, now_ms, row, revision)
    # By then a starting entry has the other entries' heartbeats and can tell
    # whether it is a reader.
    watches.schedule(world, row.kind, now_ms + const.WATCH_PAUSES_MS[0])


def _is_outdated(row: models.WatchRow, revision: int) -> bool:
    """Return whether others have told of changes after a list was read.

    What they told of as removed would return with it.
    """
    return (
        row.kind is not models.Kind.ENTRIES
        and not row.was_outdated
        and row.synced_revision is not None
        and revision < models.known_revision(row)
    )


def _apply(
    world: world_module.World,
    now_ms: float,
    row: models.WatchRow,
    revision: int,
) -> abc.Iterator[out.Output]:
    """Apply the complete list that ``row`` holds as of a revision."""
    latest_revision = max(
        row.latest_revision, min(row.listed_latest, revision)
    )
    listed = peer_sync.complete_list(row.kind, row.listed_items, revision)
    is_first = row.synced_revision is None
    if not is_first and peer_sync.lacks_known(world, listed):
        # Removals have no revision of their own from which other entries
        # could see that they are behind.
        latest_revision = max(latest_revision, revision)
    yield out.Notify(listed)
    updated = models.reset(row)._replace(
        latest_revision=latest_revision,
        revision=revision,
        synced_revision=max(revision, row.synced_revision or 0),
        must_list=False,
        was_outdated=False,
        listed_ms=now_ms,
    )
    watches.save(world, updated)
    has_changes = latest_revision > row.latest_revision
    if has_changes and not is_first:
        yield from _announce(world, now_ms, listed)


def _announce(
    world: world_module.World, now_ms: float, listed: inp.Input
) -> abc.Iterator[out.Output]:
    """Announce to the region what a list shows.

    A watch's changes are sent, but a list does not tell what was added and
    removed in between.
    """
    match listed:
        case inp.ConfigurationsListed(items):
            # The entries' system announces the version once it is in force.
            yield from map(out.Notify, items)
        case _:
            yield from members.announce(world, now_ms)
