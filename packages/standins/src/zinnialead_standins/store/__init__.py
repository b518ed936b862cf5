"""Simulate the platform's store."""

from zinnialead_standins.store.coordinator import answer
from zinnialead_standins.store.coordinator import asgi_app
from zinnialead_standins.store.coordinator import forget_before
from zinnialead_standins.store.coordinator import put
from zinnialead_standins.store.coordinator import remove
from zinnialead_standins.store.coordinator import restore
from zinnialead_standins.store.coordinator import set_condition
from zinnialead_standins.store.coordinator import snapshot
from zinnialead_standins.store.models import Busy
from zinnialead_standins.store.models import Condition
from zinnialead_standins.store.models import Copy
from zinnialead_standins.store.models import Down
from zinnialead_standins.store.models import LosesAnswers
from zinnialead_standins.store.models import new_store
from zinnialead_standins.store.models import Silent
from zinnialead_standins.store.models import Slow
from zinnialead_standins.store.models import Store
from zinnialead_standins.store.models import Up
from zinnialead_standins.store.models import WithholdsEvents

__all__ = [
    'Busy',
    'Condition',
    'Copy',
    'Down',
    'LosesAnswers',
    'Silent',
    'Slow',
    'Store',
    'Up',
    'WithholdsEvents',
    'answer',
    'asgi_app',
    'forget_before',
    'new_store',
    'put',
    'remove',
    'restore',
    'set_condition',
    'snapshot',
]
