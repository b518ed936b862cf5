"""Steer work between failure domains and regions."""

from zinnialead_core.components.steering.messages import LoadReport
from zinnialead_core.components.steering.models import LinkId
from zinnialead_core.components.steering.models import LoadRow
from zinnialead_core.components.steering.models import LoadTable
from zinnialead_core.components.steering.models import new_loads
from zinnialead_core.components.steering.models import new_shifts
from zinnialead_core.components.steering.models import ShiftTable

__all__ = [
    'LinkId',
    'LoadReport',
    'LoadRow',
    'LoadTable',
    'ShiftTable',
    'new_loads',
    'new_shifts',
]
