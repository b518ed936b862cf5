"""Send requests to upstreams over HTTP, and read their health."""

from zinnialead_daemon.components.upstreams.coordinator import attempt
from zinnialead_daemon.components.upstreams.coordinator import cancel
from zinnialead_daemon.components.upstreams.coordinator import close
from zinnialead_daemon.components.upstreams.coordinator import new_pools
from zinnialead_daemon.components.upstreams.models import Pools
from zinnialead_daemon.components.upstreams.poller import run as run_polls

__all__ = ['Pools', 'attempt', 'cancel', 'close', 'new_pools', 'run_polls']
