"""Test slots in use whose owner leaves without handing them over."""

from core.components.slots import asking
from core.components.slots import test_handover as handover

from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import inputs as inp


def test_slots_in_use_are_reported_when_an_owner_is_seen_to_leave():
    worlds = asking.two_worlds()
    owner, other = handover.owner_and_other(worlds)
    now_ms = handover.LATER_MS
    for number in range(3):
        arrival = handover.request(number, now_ms)
        asking.run_until_idle(worlds, now_ms, other, arrival)
    world = worlds[other]
    row = world.members[owner]
    world.members[owner] = row._replace(health=members.Health.LEAVING)
    changed = inp.MemberChanged(ids.EntryRef(owner, 1))
    asking.run_until_idle({other: world}, now_ms, other, changed)
    assert world.queues.in_use['pricebook-1'] == 3
    waiting = handover.request(9, now_ms)
    assert not asking.run_until_idle({other: world}, now_ms, other, waiting)
