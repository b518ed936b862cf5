"""Preview tickets and file them in the store."""

from zinnialead_config.filing.coordinator import file_ticket
from zinnialead_config.filing.models import Filed
from zinnialead_config.filing.models import LostRace
from zinnialead_config.filing.models import Outcome
from zinnialead_config.filing.models import Refused
from zinnialead_config.filing.models import Unknown
from zinnialead_config.filing.planning import Change
from zinnialead_config.filing.planning import changes
from zinnialead_config.filing.planning import PlanWarning
from zinnialead_config.filing.planning import warnings

__all__ = [
    'Change',
    'Filed',
    'LostRace',
    'Outcome',
    'PlanWarning',
    'Refused',
    'Unknown',
    'changes',
    'file_ticket',
    'warnings',
]
