"""Handle what upstreams announce about themselves, for every world.

The names come from the modules that define them; nothing of a world's
components is loaded.
"""

from zinnialead_core.notices.lengths import read_pauses
from zinnialead_core.notices.models import Leaves
from zinnialead_core.notices.models import new_pauses
from zinnialead_core.notices.models import Notice
from zinnialead_core.notices.models import Pauses
from zinnialead_core.notices.models import PauseTable
from zinnialead_core.notices.models import UnreadablePause

__all__ = [
    'Leaves',
    'Notice',
    'PauseTable',
    'Pauses',
    'UnreadablePause',
    'new_pauses',
    'read_pauses',
]
