"""Test grants by rank and floor, refusals, leases and limits."""

from core.components.slots import asking
import pytest

import zinnialead_core as core
from zinnialead_core.components import slots
from zinnialead_core.components.slots import const
from zinnialead_core.components import tickets
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out


def fill(world, count=1):
    """Occupy ``count`` slots with asks numbered from 1,001."""
    numbers = range(1_001, 1_001 + count)
    answers = asking.tell(world, 1.0, *map(asking.ask, numbers))
    assert asking.granted(answers) == list(numbers)


def serve(world, now_ms, number):
    return asking.granted(asking.tell(world, now_ms, asking.give_back(number)))


def test_other_ranks_get_their_floors_in_an_overload_of_urgent_work():
    world = asking.world_with(slots=1, queue_max=1_000)
    fill(world)
    ranks = ('urgent', 'normal', 'night')
    for number in range(600):
        ask = asking.ask(number, ranks[number % 3], left_ms=10_000_000.0)
        asking.tell(world, 1.0, ask)
    last, order = 1_001, []
    for turn in range(200):
        [last] = serve(world, 2.0 + turn, last)
        order.append(ranks[last % 3])
    assert order[0] == 'urgent'
    # The floors of the samples are 0.1 and 0.05 of 200 grants.
    assert order.count('normal') == pytest.approx(20, abs=1)
    assert order.count('night') == pytest.approx(10, abs=1)


def test_a_full_queue_drops_the_newest_of_the_least_urgent():
    world = asking.world_with(slots=1, queue_max=4)
    fill(world)
    asks = [asking.ask(n, 'night') for n in (1, 2, 3, 4)]
    assert asking.tell(world, 1.0, *asks) == []
    answers = asking.tell(world, 1.0, asking.ask(5))
    assert asking.refused(answers) == {4: 'queue-full'}
    answers = asking.tell(world, 1.0, asking.ask(6, 'night'))
    assert asking.refused(answers) == {6: 'queue-full'}


def test_a_full_queue_reserves_the_places_of_a_floor():
    world = asking.world_with(slots=1, queue_max=20)
    fill(world)
    asking.tell(world, 1.0, *[asking.ask(n) for n in range(20)])
    answers = asking.tell(world, 1.0, asking.ask(30, 'normal'))
    assert asking.refused(answers) == {19: 'queue-full'}
    answers = asking.tell(world, 1.0, asking.ask(31, 'normal'))
    assert asking.refused(answers) == {18: 'queue-full'}
    answers = asking.tell(world, 1.0, asking.ask(32, 'normal'))
    assert asking.refused(answers) == {32: 'queue-full'}


def test_work_that_would_wait_too_long_is_refused_on_arrival():
    world = asking.world_with(slots=1)
    fill(world)
    asking.tell(world, 1.0, *[asking.ask(n) for n in range(5)])
    # Six times 20 ms of waiting and 20 ms of service.
    answers = asking.tell(world, 1.0, asking.ask(6, left_ms=139.0))
    assert asking.refused(answers) == {6: 'deadline-too-short'}
    assert asking.tell(world, 1.0, asking.ask(7, left_ms=141.0)) == []


def test_waiting_work_is_refused_while_there_is_time_for_a_retry():
    world = asking.world_with(slots=1)
    fill(world)
    assert asking.tell(world, 1.0, asking.ask(1, left_ms=100.0)) == []
    assert asking.tell(world, 80.0) == []
    answers = asking.tell(world, 81.0)
    assert asking.refused(answers) == {1: 'deadline-too-short'}


def test_a_slow_attempt_does_not_refuse_work_that_finds_a_slot():
    world = asking.world_with(slots=1)
    fill(world)
    slow = asking.give_back(1_001, elapsed_ms=60_000.0)
    asking.tell(world, 2.0, slow)
    answers = asking.tell(world, 3.0, asking.ask(1, left_ms=100.0))
    assert asking.granted(answers) == [1]


def test_an_ask_of_another_domain_gets_an_idle_slot_or_a_refusal():
    world = asking.world_with(slots=1)
    other_domain_asks = [asking.ask(n, domain='huye-a') for n in (1, 2)]
    answers = asking.tell(world, 1.0, *other_domain_asks)
    assert asking.granted(answers) == [1]
    assert asking.refused(answers) == {2: 'no-headroom'}


def test_a_regions_limit_bounds_what_is_in_flight():
    limit = tickets.RegionLimit('kigali', 'pricebook', 2)
    world = asking.world_with(slots=3, caps={'x': limit})
    answers = asking.tell(world, 1.0, *map(asking.ask, (1, 2, 3)))
    assert asking.granted(answers) == [1, 2]
    assert serve(world, 2.0, 1) == [3]


def test_a_regions_limit_is_split_over_its_domains():
    domains = {
        name: tickets.DomainRow(name, 'kigali', 4)
        for name in ('kigali-a', 'kigali-b')
    }
    limit = tickets.RegionLimit('kigali', 'pricebook', 3)
    world = asking.world_with(caps={'x': limit}, domains=domains)
    other_upstream = (
        world.states['in-force']
        .upstreams['pricebook-1']
        ._replace(upstream='b', domain='kigali-b')
    )
    upstreams = {**world.states['in-force'].upstreams, 'b': other_upstream}
    asking.put_in_force(world, 2.0, upstreams=upstreams)
    answers = asking.tell(world, 3.0, *map(asking.ask, (1, 2, 3)))
    assert asking.granted(answers) == [1]


def test_a_repeated_ask_is_answered_and_counted_once():
    world = asking.world_with(slots=1)
    first, second = asking.ask(1), asking.ask(2)
    assert asking.granted(asking.tell(world, 1.0, first, first)) == [1, 1]
    answers = asking.tell(world, 2.0, second, second)
    assert answers == [slots.SlotWaiting(second.ask_id)]
    assert world.queues.in_use == {'pricebook-1': 1}


def test_a_slot_returned_twice_is_freed_once():
    world = asking.world_with(slots=2)
    fill(world, 2)
    asking.tell(world, 2.0, asking.give_back(1_001), asking.give_back(1_001))
    assert world.queues.in_use == {'pricebook-1': 1}


def test_a_lease_expires_unless_its_holder_renews_it():
    world = asking.world_with(slots=2)
    fill(world, 2)
    report = slots.SlotHeldReport(
        asking.ask_id(1_002), 'pricebook', 'urgent', 'pricebook-1', 'x'
    )
    asking.tell(world, 3_000.0, report)
    asking.tell(world, 1.0 + const.GRANT_LEASE_MS)
    assert list(world.queues.grants) == [asking.ask_id(1_002)]
    assert world.counters['slots.lease_lapsed'] == 1


def test_a_reported_slot_is_counted_before_the_next_grant():
    world = asking.world_with(slots=1)
    report = slots.SlotHeldReport(
        asking.ask_id(9), 'pricebook', 'urgent', 'pricebook-1', 'x'
    )
    answers = asking.tell(world, 1.0, report, asking.ask(1))
    assert asking.granted(answers) == []
    assert serve(world, 2.0, 9) == [1]


def test_slots_of_a_dead_asker_are_freed_after_a_service_time():
    world = asking.world_with(slots=1)
    fill(world)
    waiting = asking.ask(1, asker=asking.ASKER._replace(entry='other'))
    asking.tell(world, 1.0, waiting)
    list(core.tick(world, 2.0, [inp.MemberLost(asking.ASKER)]))
    assert world.queues.in_use == {'pricebook-1': 1}
    [answer] = core.tick(world, 22.0, [])
    assert answer == out.SendPeer(
        'other', slots.SlotAnswer(waiting.ask_id, 'pricebook-1')
    )


@pytest.mark.parametrize(
    'drain',
    [
        tickets.UpstreamDrain('pricebook-1'),
        tickets.DomainDrain('kigali-a'),
        tickets.RegionDrain('kigali'),
    ],
)
def test_a_drain_stops_grants_in_its_tick(drain):
    world = asking.world_with(slots=1)
    fill(world)
    asking.tell(world, 1.0, asking.ask(1))
    answers = asking.put_in_force(world, 2.0, drains={'x': drain})
    assert asking.refused(answers) == {1: 'no-upstream'}
    answers = asking.tell(world, 3.0, asking.ask(2))
    assert asking.refused(answers) == {2: 'no-upstream'}
    assert serve(world, 4.0, 1_001) == []


def test_a_retry_goes_to_another_upstream_where_one_is_free():
    world = asking.world_with(slots=1, upstreams=2)
    [answer] = asking.tell(world, 1.0, asking.ask(1, avoid='pricebook-2'))
    assert answer.upstream == 'pricebook-1'
    [answer] = asking.tell(world, 1.0, asking.ask(2, avoid='pricebook-1'))
    assert answer.upstream == 'pricebook-2'
    serve(world, 2.0, 1)
    [answer] = asking.tell(world, 3.0, asking.ask(3, avoid='pricebook-1'))
    assert answer.upstream == 'pricebook-1'


def test_uneven_service_times_keep_a_margin_before_the_deadline():
    world = asking.world_with(slots=1)
    fill(world)
    asking.tell(world, 2.0, asking.give_back(1_001, elapsed_ms=420.0))
    # The mean is now 40 ms, and the mean deviation 20 ms.
    asking.tell(world, 3.0, asking.ask(1_002))
    answers = asking.tell(world, 3.0, asking.ask(1, left_ms=159.0))
    assert asking.refused(answers) == {}
    asking.tell(world, 3.0, asking.give_back(1))
    answers = asking.tell(world, 3.0, asking.ask(2, left_ms=119.0))
    assert asking.refused(answers) == {2: 'deadline-too-short'}
    assert asking.tell(world, 3.0, asking.ask(3, left_ms=121.0)) == []
    assert asking.tell(world, 3.0 + 40.0) == []
    answers = asking.tell(world, 3.0 + 41.0)
    assert asking.refused(answers) == {3: 'deadline-too-short'}
