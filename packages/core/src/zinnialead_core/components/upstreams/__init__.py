"""Judge upstreams by what is seen of them."""

from zinnialead_core.components.upstreams.models import HealthRow

__all__ = ['HealthRow']
