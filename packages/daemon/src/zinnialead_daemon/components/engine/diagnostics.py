"""Dump the state of the core."""

from zinnialead_core import dump as core_dump
from zinnialead_daemon.components.engine import models


def dump(engine: models.Engine) -> core_dump.Dump:
    """Return the state dump of the engine's entry."""
    return core_dump.dump(engine.world, engine.now_ms())
