"""Let the store come back from an older copy while entries use it."""

import pytest
import trio

from daemon.components.store import restored_store as helpers
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_daemon.components import engine as engines
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


def book(entry, request_id, created_ms=None):
    """Send a booking under a key that its caller made up."""
    deadline_ms = helpers.now_ms() + 10_000.0
    booking = inp.RequestArrived(
        request_id, 'intake', None, deadline_ms, 'order-7', created_ms
    )
    engines.feed(entry, booking)


def outputs_of(fleet, kind):
    return [x for _, x in fleet.outputs if isinstance(x, kind)]


async def test_work_whose_binding_the_store_lost_does_not_run_twice(
    nursery, autojump_clock
):
    fleet = helpers.Fleet(nursery, stores.new_store())
    helpers.file_state(fleet, 6)
    one = helpers.start_entry(fleet, 'e1', peers=['e2'])
    two = helpers.start_entry(fleet, 'e2', peers=['e1'])
    assert await helpers.run_until(
        lambda: helpers.number_in_force(two) == 6, 5.0
    )
    copy = stores.snapshot(fleet.store)
    book(one, 1)
    assert await helpers.run_until(
        lambda: outputs_of(fleet, out.Dispatch), 2.0
    )
    [dispatch] = outputs_of(fleet, out.Dispatch)
    answered = verdict.Answered(201, b'booked')
    done = inp.DispatchDone(dispatch.request_id, dispatch.attempt, answered)
    engines.feed(one, done)
    stores.restore(fleet.store, copy)
    book(two, 2)
    ends = (out.Dispatch, out.Refuse, out.Replay)
    assert await helpers.run_until(
        lambda: len(outputs_of(fleet, ends)) > 1, 5.0
    )
    assert outputs_of(fleet, out.Dispatch) == [dispatch]
    for refuse in outputs_of(fleet, out.Refuse):
        assert refuse.refusal.verdict is verdict.Verdict.MAY_HAVE_RUN
    # Once the first entry has written the binding back, copies are answered.
    await trio.sleep(5.0)
    book(two, 3)
    replay = out.Replay(3, 201, b'booked')
    assert await helpers.run_until(
        lambda: replay in outputs_of(fleet, out.Replay), 5.0
    )
    nursery.cancel_scope.cancel()


async def test_an_entry_that_starts_follows_its_peers_before_an_older_copy(
    nursery, autojump_clock
):
    fleet = helpers.Fleet(nursery, stores.new_store())
    helpers.file_state(fleet, 6)
    copy = stores.snapshot(fleet.store)
    helpers.file_state(fleet, 7)
    one = helpers.start_entry(fleet, 'e1')
    assert await helpers.run_until(
        lambda: helpers.number_in_force(one) == 7, 5.0
    )
    stores.restore(fleet.store, copy)
    two = helpers.start_entry(fleet, 'e2', peers=['e1'])
    found = set()
    assert await helpers.run_until(
        lambda: found.add(helpers.number_in_force(two)) or 7 in found, 5.0
    )
    assert found == {0, 7}
    nursery.cancel_scope.cancel()


async def test_an_entry_without_peers_follows_a_restored_store(
    nursery, autojump_clock
):
    fleet = helpers.Fleet(nursery, stores.new_store())
    helpers.file_state(fleet, 6)
    stores.restore(fleet.store, stores.snapshot(fleet.store))
    alone = helpers.start_entry(fleet, 'e1')
    cut_off = helpers.start_entry(fleet, 'e2', peers=['e3'])
    # First calls are spread over 2 s, and the state is held for 1.5 s.
    await trio.sleep(3.6)
    assert [helpers.number_in_force(x) for x in (alone, cut_off)] == [6, 6]
    nursery.cancel_scope.cancel()


async def entry_ahead_of_its_store(fleet, copy_number=6):
    """Return an entry that has ticket 7 in force, which its store lost."""
    if copy_number:
        helpers.file_state(fleet, copy_number)
    copy = stores.snapshot(fleet.store)
    helpers.file_state(fleet, 7)
    entry = helpers.start_entry(fleet, 'e1')
    assert await helpers.run_until(
        lambda: helpers.number_in_force(entry) == 7, 5.0
    )
    stores.restore(fleet.store, copy)
    return entry


@pytest.mark.parametrize('copy_number', [6, None])
async def test_a_ticket_that_a_restored_store_lost_is_written_back(
    nursery, autojump_clock, copy_number
):
    fleet = helpers.Fleet(nursery, stores.new_store())
    await entry_ahead_of_its_store(fleet, copy_number)
    assert helpers.stored_number(fleet) == copy_number
    assert await helpers.run_until(
        lambda: helpers.stored_number(fleet) == 7, 7.0
    )
    # An entry that starts when all others have ended has the ticket too.
    fleet.stopped.add('e1')
    late = helpers.start_entry(fleet, 'e2', peers=['e1'])
    assert await helpers.run_until(
        lambda: helpers.number_in_force(late) == 7, 5.0
    )
    nursery.cancel_scope.cancel()


async def test_a_ticket_that_another_operator_filed_is_not_overwritten(
    nursery, autojump_clock
):
    fleet = helpers.Fleet(nursery, stores.new_store())
    entry = await entry_ahead_of_its_store(fleet)
    helpers.file_state(fleet, 7, operator='other')
    await trio.sleep(12.0)
    spec = fleet.store.objects['state']['state']['spec']
    assert spec['history'][-1]['operator'] == 'other'
    assert entry.world.counters['tickets.conflicts'] > 0
    nursery.cancel_scope.cancel()
