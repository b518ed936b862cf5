"""Decide when to call the platform's store, and what to request."""

from zinnialead_core.components.store.calls import BindingRow
from zinnialead_core.components.store.calls import Call
from zinnialead_core.components.store.calls import Conflict
from zinnialead_core.components.store.calls import Create
from zinnialead_core.components.store.calls import Failed
from zinnialead_core.components.store.calls import Found
from zinnialead_core.components.store.calls import FoundBindings
from zinnialead_core.components.store.calls import Listed
from zinnialead_core.components.store.calls import ListVms
from zinnialead_core.components.store.calls import Missing
from zinnialead_core.components.store.calls import Read
from zinnialead_core.components.store.calls import ReadBindings
from zinnialead_core.components.store.calls import ReadLatest
from zinnialead_core.components.store.calls import Refused
from zinnialead_core.components.store.calls import Result
from zinnialead_core.components.store.calls import ShardMark
from zinnialead_core.components.store.calls import TooOld
from zinnialead_core.components.store.calls import Unchanged
from zinnialead_core.components.store.calls import Update
from zinnialead_core.components.store.calls import Watch
from zinnialead_core.components.store.calls import WriteBindings
from zinnialead_core.components.store.calls import WriteState
from zinnialead_core.components.store.models import new_table
from zinnialead_core.components.store.models import StoreTable

__all__ = [
    'BindingRow',
    'Call',
    'Conflict',
    'Create',
    'Failed',
    'Found',
    'FoundBindings',
    'ListVms',
    'Listed',
    'Missing',
    'Read',
    'ReadBindings',
    'ReadLatest',
    'Refused',
    'Result',
    'ShardMark',
    'StoreTable',
    'TooOld',
    'Unchanged',
    'Update',
    'Watch',
    'WriteBindings',
    'WriteState',
    'new_table',
]
