"""Send requests to upstreams over HTTP."""

from zinnialead_daemon.components.upstreams.coordinator import attempt
from zinnialead_daemon.components.upstreams.coordinator import new_pools
from zinnialead_daemon.components.upstreams.models import Pools

__all__ = ['Pools', 'attempt', 'new_pools']
