"""Simulate several entries with callers, upstreams and a store."""

from zinnialead_lab.fleet.coordinator import add_injections
from zinnialead_lab.fleet.coordinator import add_work
from zinnialead_lab.fleet.coordinator import new_fleet
from zinnialead_lab.fleet.coordinator import run_until
from zinnialead_lab.fleet.coordinator import step
from zinnialead_lab.fleet.entries import feed
from zinnialead_lab.fleet.injections import FileTicket
from zinnialead_lab.fleet.injections import inject
from zinnialead_lab.fleet.injections import Injection
from zinnialead_lab.fleet.injections import Kill
from zinnialead_lab.fleet.injections import Partition
from zinnialead_lab.fleet.injections import Pause
from zinnialead_lab.fleet.injections import Replace
from zinnialead_lab.fleet.injections import Restart
from zinnialead_lab.fleet.injections import Resume
from zinnialead_lab.fleet.injections import SetNetwork
from zinnialead_lab.fleet.injections import SetStore
from zinnialead_lab.fleet.injections import SetUpstream
from zinnialead_lab.fleet.injections import SilenceConnections
from zinnialead_lab.fleet.injections import StartCold
from zinnialead_lab.fleet.injections import Stop
from zinnialead_lab.fleet.models import CompletionRow
from zinnialead_lab.fleet.models import Condition
from zinnialead_lab.fleet.models import Fleet
from zinnialead_lab.fleet.models import LoadFault
from zinnialead_lab.fleet.models import NetworkRow
from zinnialead_lab.fleet.models import ProcessState
from zinnialead_lab.fleet.models import Work
from zinnialead_lab.fleet.models import WorkId

__all__ = [
    'CompletionRow',
    'Condition',
    'FileTicket',
    'Fleet',
    'Injection',
    'Kill',
    'LoadFault',
    'NetworkRow',
    'Partition',
    'Pause',
    'ProcessState',
    'Replace',
    'Restart',
    'Resume',
    'SetNetwork',
    'SetStore',
    'SetUpstream',
    'SilenceConnections',
    'StartCold',
    'Stop',
    'Work',
    'WorkId',
    'add_injections',
    'add_work',
    'feed',
    'inject',
    'new_fleet',
    'run_until',
    'step',
]
