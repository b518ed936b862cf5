"""Load and validate settings and tickets."""

from zinnialead_config.problems import Problem
from zinnialead_config.problems import Problems
from zinnialead_config.settings.coordinator import load as load_settings
from zinnialead_config.settings.models import Settings
from zinnialead_config.tickets.coordinator import load as load_ticket
from zinnialead_config.tickets.documents import TicketDocument
from zinnialead_config.tickets.folding import fold
from zinnialead_config.tickets.models import Ticket
from zinnialead_config.tickets.states import decode as decode_state
from zinnialead_config.tickets.states import encode as encode_state

__all__ = [
    'Problem',
    'Problems',
    'Settings',
    'Ticket',
    'TicketDocument',
    'decode_state',
    'encode_state',
    'fold',
    'load_settings',
    'load_ticket',
]
