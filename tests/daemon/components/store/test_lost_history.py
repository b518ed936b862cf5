"""Let the store lose the history that a watch begins in."""

import pytest
import trio

from daemon.components.store import restored_store as helpers
from zinnialead_standins import store as stores


def change_others(fleet, count):
    """Change objects of another kind, which raises the store's revision."""
    for number in range(count):
        stores.put(fleet.store, 'other', 'a', number)


@pytest.mark.parametrize('filed', [True, False])
async def test_a_state_older_than_the_history_is_not_read_again_and_again(
    nursery, autojump_clock, filed
):
    fleet = helpers.Fleet(nursery, stores.new_store())
    if filed:
        helpers.file_state(fleet, 6)
    entry = helpers.start_entry(fleet, 'e1')
    await trio.sleep(5.0)
    change_others(fleet, 100)
    stores.forget_before(fleet.store, fleet.store.revision)
    calls = fleet.store.calls['GET state']
    await trio.sleep(30.0)
    assert fleet.store.calls['GET state'] - calls <= 8
    helpers.file_state(fleet, 7)
    assert await helpers.run_until(
        lambda: helpers.number_in_force(entry) == 7, 1.0
    )
    nursery.cancel_scope.cancel()


async def test_reads_back_off_while_every_watch_is_too_old(
    nursery, autojump_clock
):
    fleet = helpers.Fleet(nursery, stores.new_store())
    helpers.file_state(fleet, 6)
    helpers.start_entry(fleet, 'e1')
    await trio.sleep(5.0)
    stores.forget_before(fleet.store, fleet.store.revision + 1_000)
    calls = fleet.store.calls['GET state']
    await trio.sleep(60.0)
    assert fleet.store.calls['GET state'] - calls <= 60
    nursery.cancel_scope.cancel()
