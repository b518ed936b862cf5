"""Track which entries are alive, by probes and gossip (as in SWIM)."""

from zinnialead_core.components.members.messages import MembersAsk
from zinnialead_core.components.members.messages import MembersPage
from zinnialead_core.components.members.messages import News
from zinnialead_core.components.members.messages import Probe
from zinnialead_core.components.members.messages import ProbeAnswer
from zinnialead_core.components.members.messages import ProbeFor
from zinnialead_core.components.members.messages import ProbeRelayed
from zinnialead_core.components.members.models import Health
from zinnialead_core.components.members.models import MemberRow
from zinnialead_core.components.members.models import new_probes
from zinnialead_core.components.members.models import ProbeTable

__all__ = [
    'Health',
    'MemberRow',
    'MembersAsk',
    'MembersPage',
    'News',
    'Probe',
    'ProbeAnswer',
    'ProbeFor',
    'ProbeRelayed',
    'ProbeTable',
    'new_probes',
]
