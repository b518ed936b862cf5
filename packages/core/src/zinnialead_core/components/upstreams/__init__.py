"""Track the health and usable capacity of upstreams."""

from zinnialead_core.components.upstreams.models import HealthRow

__all__ = ['HealthRow']
