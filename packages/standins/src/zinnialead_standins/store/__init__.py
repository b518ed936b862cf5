"""Stand in for the platform's store."""

from zinnialead_standins.store.coordinator import asgi_app
from zinnialead_standins.store.coordinator import forget_before
from zinnialead_standins.store.models import Condition
from zinnialead_standins.store.models import Down
from zinnialead_standins.store.models import LosesAnswers
from zinnialead_standins.store.models import new_store
from zinnialead_standins.store.models import ObjectRow
from zinnialead_standins.store.models import Slow
from zinnialead_standins.store.models import Store
from zinnialead_standins.store.models import Up
from zinnialead_standins.store.models import VmDocument

__all__ = [
    'Condition',
    'Down',
    'LosesAnswers',
    'ObjectRow',
    'Slow',
    'Store',
    'Up',
    'VmDocument',
    'asgi_app',
    'forget_before',
    'new_store',
]
