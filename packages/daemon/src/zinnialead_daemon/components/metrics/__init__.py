"""Send counters and timers to a statsd server."""

from zinnialead_daemon.components.metrics.coordinator import flush
from zinnialead_daemon.components.metrics.coordinator import run
from zinnialead_daemon.components.metrics.models import Metrics
from zinnialead_daemon.components.metrics.models import new_metrics

__all__ = ['Metrics', 'flush', 'new_metrics', 'run']
