"""Make all decisions of zinnialead, without I/O or a clock.

The names of this package are imported when they are first used: an entry
that runs ``zinnialead_core.gateway`` does without them and starts sooner.
"""

import importlib
import typing

if typing.TYPE_CHECKING:
    from zinnialead_core.systems import next_due_ms
    from zinnialead_core.systems import tick
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
_MODULES = {
    'NodeRow': 'world',
    'Reason': 'verdict',
    'Refusal': 'verdict',
    'Verdict': 'verdict',
    'World': 'world',
    'new_world': 'world',
    'next_due_ms': 'systems',
    'tick': 'systems',
}


def __getattr__(name: str) -> object:
    """Import a name of this package from the module that defines it."""
    if name not in _MODULES:
        raise AttributeError(f'{__name__} has no {name!r}')
    module = importlib.import_module(f'{__name__}.{_MODULES[name]}')
    return getattr(module, name)
