"""Run the work under an idempotency key at most once.

Callers retry, so several entries may get copies of a request, all with its
key.  An issued key names one or two entries as its registrars: the home and
the witness.  The entry that wants to run the work claims the key at the
home, then at the witness, and is its holder once both have granted it.  A
bar ensures that nothing runs under a key that nobody holds.
"""

from zinnialead_core.components.keys.issued_keys import prefix
from zinnialead_core.components.keys.messages import BarKey
from zinnialead_core.components.keys.messages import ClaimAnswer
from zinnialead_core.components.keys.messages import ClaimAsk
from zinnialead_core.components.keys.messages import ClaimEnd
from zinnialead_core.components.keys.messages import ClaimEndAck
from zinnialead_core.components.keys.models import Answer
from zinnialead_core.components.keys.models import Barred
from zinnialead_core.components.keys.models import BindingTable
from zinnialead_core.components.keys.models import Claimed
from zinnialead_core.components.keys.models import ClaimRow
from zinnialead_core.components.keys.models import ClaimTable
from zinnialead_core.components.keys.models import Denial
from zinnialead_core.components.keys.models import Denied
from zinnialead_core.components.keys.models import Ended
from zinnialead_core.components.keys.models import Free
from zinnialead_core.components.keys.models import Freed
from zinnialead_core.components.keys.models import Granted
from zinnialead_core.components.keys.models import is_open
from zinnialead_core.components.keys.models import KeyEnd
from zinnialead_core.components.keys.models import KeyState
from zinnialead_core.components.keys.models import new_bindings
from zinnialead_core.components.keys.models import new_claims
from zinnialead_core.components.keys.models import new_registrations
from zinnialead_core.components.keys.models import NotRegistrar
from zinnialead_core.components.keys.models import Recorded
from zinnialead_core.components.keys.models import RegistrationRow
from zinnialead_core.components.keys.models import RegistrationTable
from zinnialead_core.components.keys.models import Undecided
from zinnialead_core.components.keys.models import Waiting

__all__ = [
    'Answer',
    'BarKey',
    'Barred',
    'BindingTable',
    'ClaimAnswer',
    'ClaimAsk',
    'ClaimEnd',
    'ClaimEndAck',
    'ClaimRow',
    'ClaimTable',
    'Claimed',
    'Denial',
    'Denied',
    'Ended',
    'Free',
    'Freed',
    'Granted',
    'KeyEnd',
    'KeyState',
    'NotRegistrar',
    'Recorded',
    'RegistrationRow',
    'RegistrationTable',
    'Undecided',
    'Waiting',
    'is_open',
    'new_bindings',
    'new_claims',
    'new_registrations',
    'prefix',
]
