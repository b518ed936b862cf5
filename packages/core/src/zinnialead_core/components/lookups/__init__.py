"""Tell callers which entries to use."""

from zinnialead_core.components.lookups.models import Choice
from zinnialead_core.components.lookups.models import LookUp
from zinnialead_core.components.lookups.models import LookUpAnswer

__all__ = ['Choice', 'LookUp', 'LookUpAnswer']
