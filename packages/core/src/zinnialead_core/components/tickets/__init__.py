"""Keep the state in force and spread it; its number never decreases."""

from zinnialead_core.components.tickets.drains import covers
from zinnialead_core.components.tickets.drains import is_drained
from zinnialead_core.components.tickets.messages import StateAsk
from zinnialead_core.components.tickets.messages import StateData
from zinnialead_core.components.tickets.messages import StateDelta
from zinnialead_core.components.tickets.messages import StateNumber
from zinnialead_core.components.tickets.models import BlockRow
from zinnialead_core.components.tickets.models import Cap
from zinnialead_core.components.tickets.models import DomainDrain
from zinnialead_core.components.tickets.models import DomainRow
from zinnialead_core.components.tickets.models import Drain
from zinnialead_core.components.tickets.models import empty_state
from zinnialead_core.components.tickets.models import LinkBudget
from zinnialead_core.components.tickets.models import RankRow
from zinnialead_core.components.tickets.models import RegionDrain
from zinnialead_core.components.tickets.models import RegionLimit
from zinnialead_core.components.tickets.models import ServiceRow
from zinnialead_core.components.tickets.models import ShiftCap
from zinnialead_core.components.tickets.models import State
from zinnialead_core.components.tickets.models import TicketNote
from zinnialead_core.components.tickets.models import UpstreamDrain
from zinnialead_core.components.tickets.models import UpstreamRow
from zinnialead_core.components.tickets.spread import new_spread
from zinnialead_core.components.tickets.spread import SpreadTable

__all__ = [
    'BlockRow',
    'Cap',
    'DomainDrain',
    'DomainRow',
    'Drain',
    'LinkBudget',
    'RankRow',
    'RegionDrain',
    'RegionLimit',
    'ServiceRow',
    'ShiftCap',
    'SpreadTable',
    'State',
    'StateAsk',
    'StateData',
    'StateDelta',
    'StateNumber',
    'TicketNote',
    'UpstreamDrain',
    'UpstreamRow',
    'covers',
    'empty_state',
    'is_drained',
    'new_spread',
]
