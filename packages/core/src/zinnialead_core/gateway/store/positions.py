"""Say how far an entry's knowledge of each kind of objects goes.

Entries compare these numbers to find out which of them has a later change.
"""

from zinnialead_core.gateway.routes import coordinator as routes
from zinnialead_core.gateway.store import eras
from zinnialead_core.gateway.store import models
from zinnialead_core.gateway import world as world_module


def latest(world: world_module.World, kind: models.Kind) -> int:
    """Return the number of the last change, as heartbeats announce it."""
    if kind is models.Kind.CONFIGURATION:
        return _version(world)
    return world.store.watches[kind].latest_revision


def known(world: world_module.World, kind: models.Kind) -> int:
    """Return the number up to which every change is known."""
    if kind is models.Kind.CONFIGURATION:
        return _version(world)
    return models.known_revision(world.store.watches[kind])


def is_comparable(
    world: world_module.World, kind: models.Kind, era: int
) -> bool:
    """Return whether another entry's numbers of a kind are of this era."""
    return kind is models.Kind.CONFIGURATION or not eras.is_past(world, era)


def _version(world: world_module.World) -> int:
    """Return the version in force: operators only raise it."""
    configuration = routes.active_configuration(world)
    return configuration.version if configuration else 0
