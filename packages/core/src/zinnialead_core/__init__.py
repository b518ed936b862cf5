"""Decide everything that zinnialead decides, without I/O or a clock."""

from zinnialead_core.tick import next_due_ms
from zinnialead_core.tick import tick
from zinnialead_core.verdict import Reason
from zinnialead_core.verdict import Refusal
from zinnialead_core.verdict import Verdict
from zinnialead_core.world import new_world
from zinnialead_core.world import NodeRow
from zinnialead_core.world import World

__all__ = [
    'NodeRow',
    'Reason',
    'Refusal',
    'Verdict',
    'World',
    'new_world',
    'next_due_ms',
    'tick',
]
