"""Log state changes as JSON lines."""

from zinnialead_daemon.components.logs.coordinator import log_change
from zinnialead_daemon.components.logs.coordinator import log_dump
from zinnialead_daemon.components.logs.coordinator import set_up
from zinnialead_daemon.components.logs.models import Logs
from zinnialead_daemon.components.logs.models import new_logs

__all__ = ['Logs', 'log_change', 'log_dump', 'new_logs', 'set_up']
