"""Play a load on a mock clock and count what callers get.

Several entries of the gateway decide, over upstreams with slots, queues and
caches.  It is for weighing decisions, not for measuring their cost.
"""

from zinnialead_lab.load.command import main
from zinnialead_lab.load.coordinator import play
from zinnialead_lab.load import scenarios

__all__ = ['main', 'play', 'scenarios']
