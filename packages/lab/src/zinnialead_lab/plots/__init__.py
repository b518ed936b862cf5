"""Draw charts of the measurements."""

from zinnialead_lab.plots.coordinator import bench
from zinnialead_lab.plots.coordinator import slopes

__all__ = ['bench', 'slopes']
