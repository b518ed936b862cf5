"""Test that the shifts that all owners admit stay under their caps."""

import itertools

import hypothesis
from hypothesis import strategies as st

from core import samples
import zinnialead_core as core
from zinnialead_core.components import members
from zinnialead_core.components.slots import models as slot_models
from zinnialead_core.components.steering import caps
from zinnialead_core.components.steering import const
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_core import world as world_module

DOMAINS = {'k-a': 'kigali', 'k-b': 'kigali', 'h-a': 'huye'}
NUMBERS = itertools.count()
SERVICES = ('pricebook', 'intake', 'payouts')
RANKS = {
    'urgent': tickets.RankRow('urgent', 0, 100.0, 0.0, 1.0),
    'night': tickets.RankRow('night', 2, 1.0, 0.1, 1.0),
}


def state_with(cap: tickets.Cap) -> tickets.State:
    services = {x: samples.service(x, True) for x in SERVICES}
    rows = {
        f'{service}/{domain}': tickets.UpstreamRow(
            f'{service}/{domain}', service, domain, 'x', 3, 9
        )
        for service in SERVICES
        for domain in DOMAINS
    }
    return tickets.empty_state()._replace(
        number=1,
        services=services,
        upstreams=rows,
        ranks=RANKS,
        domains={x: tickets.DomainRow(x, y, 4) for x, y in DOMAINS.items()},
        caps={'cap': cap},
    )


def owner(domain: str, cap: tickets.Cap, alive: int = 4) -> core.World:
    ref = ids.EntryRef(f'{domain}-0', 1)
    node = world_module.NodeRow(ref, domain, DOMAINS[domain], 'x')
    world = core.new_world(node, seed=1)
    world.states['in-force'] = state_with(cap)
    for number in range(alive):
        row = members.MemberRow(
            entry=f'{domain}-{number}',
            incarnation=1,
            domain=domain,
            address='x',
            health=members.Health.ALIVE,
            heard_ms=0.0,
            state_number=1,
        )
        world.members[row.entry] = row
    return world


def shift(number, service='intake', rank='urgent', home='huye'):
    ask_id = ids.AskId(ids.EntryRef('e', 1), number, 1)
    return caps.Shift(ask_id, service, rank, home, 100)


def ask(world, now_ms, service='intake', rank='urgent', home='huye'):
    asked = shift(next(NUMBERS), service, rank, home)
    refusal = caps.admit(world, now_ms, asked)
    if refusal is None:
        caps.record_sent(world, now_ms, service, home, asked.ask_id)
    return refusal


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    st.integers(0, 40),
    st.integers(0, 4),
    st.lists(
        st.tuples(
            st.sampled_from(['k-a', 'k-b', 'k-b split']),
            st.sampled_from(SERVICES),
            st.floats(0.0, 60.0),
        ),
        max_size=200,
    ),
)
def test_no_second_lets_in_more_than_the_cap(cap_per_s, group, asks):
    cap = tickets.ShiftCap('huye', 'kigali', float(cap_per_s))
    owners = {
        'k-a': owner('k-a', cap),
        'k-b': owner('k-b', cap, alive=group),
        'k-b split': owner('k-b', cap, alive=4 - group),
    }
    now_ms = 0.0
    let_in = []
    for name, service, pause_ms in asks:
        now_ms += pause_ms
        if ask(owners[name], now_ms, service) is None:
            let_in.append(now_ms)
    for at_ms in let_in:
        window = [x for x in let_in if at_ms <= x < at_ms + 1000.0]
        assert len(window) <= cap_per_s


def test_the_shares_of_a_cap_add_up_to_it():
    cap = tickets.ShiftCap('huye', 'kigali', 40.0)
    shares = [
        caps.owner_share(owner(domain, cap), service, 40.0)
        for domain in ('k-a', 'k-b')
        for service in SERVICES
    ]
    assert sum(shares) == 40.0


def test_a_cap_is_available_again_after_its_window():
    world = owner('k-a', tickets.ShiftCap('huye', 'kigali', 6.0))
    assert ask(world, 0.0) is None
    refusal = ask(world, const.SHIFT_WINDOW_MS - 1.0)
    assert refusal.reason is verdict.Reason.CAP_REACHED
    assert ask(world, const.SHIFT_WINDOW_MS) is None


def test_less_urgent_work_uses_only_a_share_of_a_cap():
    world = owner('k-a', tickets.ShiftCap('huye', 'kigali', 60.0))
    admitted = [ask(world, 0.0, rank='night') for _ in range(10)].count(None)
    assert admitted == 8
    assert ask(world, 0.0) is None


def test_a_link_budget_counts_bodies_and_mean_answers():
    world = owner('k-a', tickets.LinkBudget('huye', 'kigali', 120_000.0))
    world.shifts.answer_bytes['intake'] = 9_900.0
    assert [ask(world, 0.0) for _ in range(3)].count(None) == 2


def test_work_of_this_region_is_not_a_shift():
    world = owner('k-a', tickets.ShiftCap('huye', 'kigali', 0.0))
    assert ask(world, 0.0, home='kigali') is None
    assert ask(world, 0.0, home='huye') is not None


def test_a_shift_counts_from_admission_until_its_window_ends():
    world = owner('k-a', tickets.ShiftCap('huye', 'kigali', 6.0))
    first, second = shift(1), shift(2)
    assert caps.admit(world, 0.0, first) is None
    late_ms = 10 * const.SHIFT_WINDOW_MS
    assert caps.admit(world, late_ms, second) is not None
    caps.record_sent(world, late_ms, 'intake', 'huye', first.ask_id)
    assert caps.admit(world, late_ms + 1.0, second) is not None
    assert caps.admit(world, 2 * late_ms, second) is None
    caps.remove_waiting(world, 'intake', 'huye', second.ask_id)
    assert caps.admit(world, 2 * late_ms, shift(3)) is None


def test_a_new_owner_admits_no_shifts_at_first():
    world = owner('k-a', tickets.ShiftCap('huye', 'kigali', 60.0))
    load = slot_models.ServiceLoadRow('intake', None, owned_since_ms=100.0)
    world.queues.service_loads['intake'] = load
    assert ask(world, 101.0).reason is verdict.Reason.CAP_REACHED
    assert ask(world, 100.0 + const.NEW_OWNER_PAUSE_MS) is None


def test_shares_follow_the_capacity_of_each_service():
    cap = tickets.ShiftCap('huye', 'kigali', 100.0)
    world = owner('k-a', cap)
    state = world.states['in-force']
    row = state.upstreams['intake/k-a']
    state.upstreams['intake/k-a'] = row._replace(slots=12)
    assert caps.owner_share(world, 'intake', 100.0) > 2 * caps.owner_share(
        world, 'payouts', 100.0
    )
