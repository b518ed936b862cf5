"""Process each caller's request from its arrival to its answer."""

from zinnialead_core.components.requests.models import new_table
from zinnialead_core.components.requests.models import Phase
from zinnialead_core.components.requests.models import RequestRow
from zinnialead_core.components.requests.models import RequestTable

__all__ = ['Phase', 'RequestRow', 'RequestTable', 'new_table']
