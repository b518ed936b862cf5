"""Grant upstream slots from one queue per service and failure domain."""

from zinnialead_core.components.slots.messages import SlotAnswer
from zinnialead_core.components.slots.messages import SlotAsk
from zinnialead_core.components.slots.messages import SlotHeldReport
from zinnialead_core.components.slots.messages import SlotReturn
from zinnialead_core.components.slots.messages import SlotWaiting
from zinnialead_core.components.slots.models import AskRow
from zinnialead_core.components.slots.models import AskTable
from zinnialead_core.components.slots.models import GrantRow
from zinnialead_core.components.slots.models import new_asks
from zinnialead_core.components.slots.models import new_queues
from zinnialead_core.components.slots.models import QueuedRow
from zinnialead_core.components.slots.models import QueueTable
from zinnialead_core.components.slots.models import SlotEnd

__all__ = [
    'AskRow',
    'AskTable',
    'GrantRow',
    'QueueTable',
    'QueuedRow',
    'SlotAnswer',
    'SlotAsk',
    'SlotEnd',
    'SlotHeldReport',
    'SlotReturn',
    'SlotWaiting',
    'new_asks',
    'new_queues',
]
