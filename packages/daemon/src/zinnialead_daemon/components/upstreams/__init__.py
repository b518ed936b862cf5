"""Send requests to upstreams over HTTP and poll their health."""

from zinnialead_daemon.components.upstreams.coordinator import cancel_attempt
from zinnialead_daemon.components.upstreams.coordinator import close
from zinnialead_daemon.components.upstreams.coordinator import new_pools
from zinnialead_daemon.components.upstreams.coordinator import run_attempt
from zinnialead_daemon.components.upstreams.models import Pools
from zinnialead_daemon.components.upstreams.poller import run as run_polls

__all__ = [
    'Pools',
    'cancel_attempt',
    'close',
    'new_pools',
    'run_attempt',
    'run_polls',
]
