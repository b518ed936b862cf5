"""Describe the engine for a dump."""

from zinnialead_core import dump as core_dump
from zinnialead_daemon.components.engine import models


def dump(engine: models.Engine) -> core_dump.Dump:
    """Return the state dump of the entry that this engine drives."""
    return core_dump.dump(engine.world)
