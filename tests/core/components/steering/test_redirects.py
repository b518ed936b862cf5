"""Test when asks are redirected to other domains."""

from core.components.steering import test_caps
from zinnialead_core.components import steering
from zinnialead_core.components.steering import const
from zinnialead_core.components.steering import redirects
from zinnialead_core.components import tickets

CAP = tickets.ShiftCap('huye', 'kigali', 10.0)


def load(domain, slots=3, in_use=0, service_time_ms=250.0):
    return steering.LoadRow(
        'intake', domain, slots, in_use, 0, service_time_ms, 0.0
    )


def choose(world, now_ms, wait_ms=50.0, left_ms=5_000.0, tried=()):
    return redirects.choose(world, now_ms, 'intake', wait_ms, left_ms, tried)


def world_with(*rows):
    world = test_caps.owner('k-a', CAP)
    for row in rows:
        redirects.apply_load(world, 0.0, row)
    return world


def test_an_ask_with_a_short_wait_is_not_redirected():
    world = world_with(load('k-b'))
    assert choose(world, 0.0, wait_ms=const.SIBLING_COST_MS) is None


def test_domains_of_this_region_are_preferred():
    world = world_with(load('k-b'), load('h-a'))
    assert choose(world, 0.0, wait_ms=1_000.0) == 'k-b'
    assert choose(world, 0.0, wait_ms=1_000.0, tried=('k-b',)) == 'h-a'
    assert choose(world, 0.0, wait_ms=100.0, tried=('k-b',)) is None
    assert choose(world, 0.0, 1_000.0, tried=('k-b', 'h-a')) is None


def test_a_load_report_allows_a_limited_number_of_asks():
    world = world_with(load('k-b', slots=3, in_use=1))
    sent = [choose(world, 1.0) for _ in range(10)]
    assert sent.count('k-b') == 4


def test_a_domain_without_free_slots_gets_no_asks():
    world = world_with(load('k-b', in_use=3))
    assert choose(world, 0.0) is None


def test_a_domain_with_a_stale_report_gets_one_ask_per_period():
    world = world_with(load('k-b'))
    late_ms = const.LOAD_STALE_MS + 1.0
    assert choose(world, late_ms) == 'k-b'
    assert choose(world, late_ms + 1.0) is None
    assert choose(world, late_ms + const.STALE_ASK_PERIOD_MS) == 'k-b'


def test_a_refusal_pauses_a_domain_despite_its_reports():
    world = world_with(load('k-b'))
    redirects.pause_domain(world, 0.0, 'intake', 'k-b')
    redirects.apply_load(world, 1.0, load('k-b'))
    assert choose(world, 2.0) is None
    assert choose(world, const.REFUSED_PAUSE_MS + 1.0) == 'k-b'
