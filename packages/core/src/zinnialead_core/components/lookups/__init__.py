"""Answer look-ups: which entries should a caller send to."""

from zinnialead_core.components.lookups.models import Choice
from zinnialead_core.components.lookups.models import LookUp
from zinnialead_core.components.lookups.models import LookUpAnswer
from zinnialead_core.components.lookups.models import LookUpTable
from zinnialead_core.components.lookups.models import new_table

__all__ = ['Choice', 'LookUp', 'LookUpAnswer', 'LookUpTable', 'new_table']
