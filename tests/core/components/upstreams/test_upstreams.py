"""Check ejection, trial, ramp-up and load reports of upstreams."""

from core.components.slots import asking
import hypothesis
from hypothesis import strategies as st
import pytest

import zinnialead_core as core
from zinnialead_core.components import slots
from zinnialead_core.components import tickets
from zinnialead_core.components.upstreams import capacity
from zinnialead_core.components.upstreams import const
from zinnialead_core.components.upstreams import models
from zinnialead_core import inputs as inp

FIRST = 'pricebook-1'


def usable(world, now_ms, upstream=FIRST):
    slots_declared = world.states['in-force'].upstreams[upstream].slots
    health = world.upstreams.get(upstream)
    return capacity.usable_slots(health, slots_declared, now_ms)


def report(world, now_ms, upstream=FIRST, **fields):
    values = {'healthy': True, 'in_flight': 0, **fields}
    list(core.tick(world, now_ms, [inp.UpstreamReport(upstream, **values)]))


def attempts(world, now_ms, count, end, upstream=FIRST):
    """Make attempts at one upstream only, each ending with ``end``."""
    other_upstreams = {
        name: row
        for name, row in world.states['in-force'].upstreams.items()
        if row.service == 'pricebook' and name != upstream
    }
    for number in range(count):
        avoid = next(iter(other_upstreams), None)
        answers = asking.tell(world, now_ms, asking.ask(number, avoid=avoid))
        assert answers[0].upstream == upstream
        asking.tell(world, now_ms, asking.give_back(number, end))


def test_failures_in_a_row_eject_an_upstream_until_a_trial():
    world = asking.world_with(upstreams=2)
    attempts(world, 1.0, const.FAILURES_MAX, slots.SlotEnd.FAILED)
    assert usable(world, 2.0) == 0
    trial_ms = 1.0 + const.EJECTION_MS
    assert usable(world, trial_ms) == 1
    attempts(world, trial_ms, 1, slots.SlotEnd.SERVED)
    assert usable(world, trial_ms) == 1
    assert usable(world, trial_ms + const.RAMP_MS * 0.7) == 2
    assert usable(world, trial_ms + const.RAMP_MS) == 3


def test_one_answer_that_is_no_http_ejects_an_upstream():
    world = asking.world_with(upstreams=2)
    attempts(world, 1.0, 1, slots.SlotEnd.FAULTY)
    assert usable(world, 2.0) == 0
    assert usable(world, 1.0 + const.EJECTION_MS) == 1
    assert world.counters['upstreams.faulty'] == 1


def test_a_failed_trial_ejects_an_upstream_for_longer():
    world = asking.world_with(upstreams=2)
    attempts(world, 1.0, const.FAILURES_MAX, slots.SlotEnd.FAILED)
    trial_ms = 1.0 + const.EJECTION_MS
    attempts(world, trial_ms, 1, slots.SlotEnd.FAILED)
    assert usable(world, trial_ms + const.EJECTION_MS) == 0
    assert usable(world, trial_ms + const.EJECTION_MAX_MS) == 1


def test_at_most_half_of_the_upstreams_are_ejected():
    world = asking.world_with(upstreams=2)
    attempts(world, 1.0, const.FAILURES_MAX, slots.SlotEnd.FAILED)
    for number in range(20):
        answers = asking.tell(world, 2.0, asking.ask(number))
        assert answers[0].upstream == 'pricebook-2'
        failed = asking.give_back(number, slots.SlotEnd.FAILED)
        asking.tell(world, 2.0, failed)
    assert world.counters['upstreams.left_in'] > 0
    assert usable(world, 3.0, 'pricebook-2') == 3


def test_successes_between_failures_prevent_an_ejection():
    world = asking.world_with(upstreams=2)
    for _ in range(5):
        attempts(world, 1.0, const.FAILURES_MAX - 1, slots.SlotEnd.FAILED)
        attempts(world, 1.0, 1, slots.SlotEnd.SERVED)
    assert usable(world, 2.0) == 3


def test_timeouts_do_not_eject_an_upstream():
    world = asking.world_with(upstreams=2)
    attempts(world, 1.0, 20, slots.SlotEnd.TIMED_OUT)
    assert usable(world, 2.0) == 3


def test_shed_requests_lower_the_usable_slots_for_a_while():
    world = asking.world_with(slots=4)
    asking.tell(world, 1.0, *map(asking.ask, range(4)))
    shed = asking.give_back(0, slots.SlotEnd.SHED)
    asking.tell(world, 1.0, shed)
    assert usable(world, 1.0) == 3
    assert usable(world, 1.0 + const.RECOVERY_MS_PER_SLOT) == 4


@pytest.mark.parametrize(
    ('reports', 'expected'),
    [
        ([4], 4),
        ([5], 3),
        ([90], 2),
        ([None], 4),
        ([0], 4),
        ([90] * 7, 4),
    ],
)
def test_a_reported_load_takes_a_bounded_share_of_the_slots(reports, expected):
    world = asking.world_with(slots=4)
    asking.tell(world, 1.0, *map(asking.ask, range(4)))
    report(world, 1.0, in_flight=4)
    for number, in_flight in enumerate(reports):
        report(world, 2.0 + number, in_flight=in_flight)
    assert usable(world, 10.0) == expected
    stale_ms = 10.0 + const.REPORT_STALE_MS
    assert usable(world, stale_ms) == 4


def test_reported_ill_health_counts_only_without_a_recent_answer():
    world = asking.world_with(upstreams=2)
    attempts(world, 1.0, 1, slots.SlotEnd.SERVED)
    report(world, 2.0, healthy=False)
    assert usable(world, 2.0) == 3
    late_ms = 2.0 + const.ANSWER_TRUST_MS
    report(world, late_ms, healthy=False)
    assert usable(world, late_ms) == 0
    trial_ms = late_ms + const.EJECTION_MS
    report(world, trial_ms, healthy=False)
    assert usable(world, trial_ms) == 1


def test_reported_ill_health_of_all_ejects_only_half():
    world = asking.world_with(upstreams=4)
    for upstream in [f'pricebook-{n}' for n in range(1, 5)]:
        report(world, 9_000.0, upstream, healthy=False)
    usable_slots = [
        usable(world, 9_001.0, f'pricebook-{n}') for n in range(1, 5)
    ]
    assert sorted(usable_slots) == [0, 0, 3, 3]


def test_a_leaving_upstream_gets_no_grants_after_its_report():
    world = asking.world_with(upstreams=2)
    report(world, 2.0, leaving=True)
    answers = asking.tell(world, 2.0, *map(asking.ask, range(4)))
    assert {x.upstream for x in answers if x.upstream} == {'pricebook-2'}
    report(world, 2.0, 'pricebook-2', leaving=True)
    answers = asking.tell(world, 2.0, asking.ask(9))
    assert asking.refused(answers) == {9: 'no-upstream'}


def test_new_and_returned_upstreams_ramp_up():
    world = asking.world_with()
    upstreams = world.states['in-force'].upstreams
    new = upstreams[FIRST]._replace(upstream='new')
    drain = {'x': tickets.UpstreamDrain(FIRST)}
    asking.put_in_force(
        world, 2.0, upstreams={**upstreams, 'new': new}, drains=drain
    )
    assert usable(world, 2.0, 'new') == 1
    assert usable(world, 2.0 + const.RAMP_MS, 'new') == 3
    asking.put_in_force(world, 9_000.0, drains={})
    assert usable(world, 9_000.0) == 1
    assert usable(world, 9_000.0 + const.RAMP_MS) == 3


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    st.builds(
        models.HealthRow,
        st.just('x'),
        st.booleans(),
        st.booleans(),
        out_until_ms=st.floats(0.0, 1e5),
        on_trial=st.booleans(),
        ramp_start_ms=st.none() | st.floats(0.0, 1e5),
        shed_limit=st.none() | st.floats(1.0, 50.0),
        shed_ms=st.floats(0.0, 1e5),
        excess=st.integers(0, 1000),
        reported_ms=st.none() | st.floats(0.0, 1e5),
    ),
    st.integers(0, 20),
    st.floats(1e5, 2e5),
)
def test_usable_slots_never_exceed_the_declared_slots(
    health, declared, now_ms
):
    usable_slots = capacity.usable_slots(health, declared, now_ms)
    assert 0 <= usable_slots <= declared
    if capacity.is_leaving(health):
        assert usable_slots == 0
    elif declared:
        assert usable_slots >= 1
