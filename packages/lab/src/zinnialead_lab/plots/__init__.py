"""Draw what the measurements found."""

from zinnialead_lab.plots.coordinator import bench
from zinnialead_lab.plots.coordinator import slopes

__all__ = ['bench', 'slopes']
