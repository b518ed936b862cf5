"""Simulate a caller that caches look-ups and repeats requests."""

from zinnialead_standins.caller.coordinator import entry_addresses
from zinnialead_standins.caller.coordinator import fresh_key
from zinnialead_standins.caller.coordinator import send
from zinnialead_standins.caller.models import Broken
from zinnialead_standins.caller.models import Caller
from zinnialead_standins.caller.models import Crossed
from zinnialead_standins.caller.models import MayHaveRun
from zinnialead_standins.caller.models import new_caller
from zinnialead_standins.caller.models import NotRun
from zinnialead_standins.caller.models import Outcome
from zinnialead_standins.caller.models import Ran
from zinnialead_standins.caller.models import Work

__all__ = [
    'Broken',
    'Caller',
    'Crossed',
    'MayHaveRun',
    'NotRun',
    'Outcome',
    'Ran',
    'Work',
    'entry_addresses',
    'fresh_key',
    'new_caller',
    'send',
]
