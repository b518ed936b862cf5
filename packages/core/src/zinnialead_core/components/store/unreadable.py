"""Log the VMs of the platform's list that can't be read."""

from collections import abc

from zinnialead_core.components.store import const
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def record(
    world: world_module.World, vm: inp.VmUnreadable
) -> abc.Iterator[out.Output]:
    """Count and log an unreadable VM, once per change of it."""
    table = world.store.unreadable
    if table.get(vm.name) == vm.version:
        return
    table.pop(vm.name, None)
    while len(table) >= const.UNREADABLE_MAX:
        table.pop(next(iter(table)))
    table[vm.name] = vm.version
    world.counters['store.unreadable'] += 1
    yield out.LogChange(
        'store',
        f'vms {vm.name}',
        'unknown',
        f'unreadable at version {vm.version}: {vm.reason}',
    )
