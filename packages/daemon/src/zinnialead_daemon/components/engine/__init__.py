"""Run the core: feed it inputs and execute its outputs."""

from zinnialead_daemon.components.engine.coordinator import feed
from zinnialead_daemon.components.engine.coordinator import new_engine
from zinnialead_daemon.components.engine.coordinator import run_timers
from zinnialead_daemon.components.engine.models import Engine
from zinnialead_daemon.components.engine.models import Handlers

__all__ = ['Engine', 'Handlers', 'feed', 'new_engine', 'run_timers']
