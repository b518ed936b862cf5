"""Let the store come back from an older copy while entries use it."""

import trio

from daemon.components.store import restored_store as helpers
from zinnialead_standins import store as stores


async def test_a_ticket_is_not_missed_when_its_revision_was_given_out_before(
    nursery, autojump_clock
):
    fleet = helpers.Fleet(nursery, stores.new_store())
    helpers.file_state(fleet, 6)
    entry = helpers.start_entry(fleet, 'e1')
    assert await helpers.run_until(
        lambda: helpers.number_in_force(entry) == 6, 5.0
    )
    copy = stores.snapshot(fleet.store)
    for name in ('a', 'b', 'c'):
        stores.put(fleet.store, 'other', name, 1)
    helpers.file_state(fleet, 7)
    assert await helpers.run_until(
        lambda: helpers.number_in_force(entry) == 7, 1.0
    )
    stores.set_condition(fleet.store, stores.Down())
    await trio.sleep(2.0)
    stores.restore(fleet.store, copy)
    for number in (7, 8):
        helpers.file_state(fleet, number)
    for name in ('a', 'b', 'c', 'd'):
        stores.put(fleet.store, 'other', name, 2)
    stores.set_condition(fleet.store, stores.Up())
    assert await helpers.run_until(
        lambda: helpers.number_in_force(entry) == 8, 7.0
    )
    nursery.cancel_scope.cancel()
