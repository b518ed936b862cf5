"""Test that a domain's previous share of a region limit expires."""

from core import samples
import zinnialead_core as core
from zinnialead_core.components.slots import availability
from zinnialead_core.components.slots import local_config
from zinnialead_core.components import tickets
from zinnialead_core import inputs as inp

SIBLING = 'kigali-b'


def limited(number, **changed):
    state = samples.state(slots=3, number=number)
    local_row = state.upstreams['pricebook-1']
    sibling_row = local_row._replace(
        upstream='pricebook-2', domain=SIBLING, address='127.0.0.1:2'
    )
    return state._replace(
        domains={
            **state.domains,
            SIBLING: tickets.DomainRow(SIBLING, 'kigali', 4),
        },
        upstreams={**state.upstreams, 'pricebook-2': sibling_row},
        caps={'l': tickets.RegionLimit('kigali', 'pricebook', 4)},
        **changed,
    )


def limits(world, now_ms):
    return (
        local_config.in_flight_max(world, now_ms, 'pricebook'),
        availability.usable_slots(world, now_ms, 'pricebook'),
    )


def test_a_share_grows_only_after_earlier_work_has_ended():
    world = samples.world()
    list(core.tick(world, 1.0, [inp.StateRead(limited(2))]))
    assert limits(world, 2.0) == (2, 2)
    drains = {'d': tickets.DomainDrain(SIBLING)}
    drained = limited(3, drains=drains)
    list(core.tick(world, 10.0, [inp.StateRead(drained)]))
    assert limits(world, 11.0) == (2, 2)
    longest_ms = drained.services['pricebook'].deadline_max_ms
    assert limits(world, 10.0 + longest_ms) == (4, 3)


def test_a_share_shrinks_at_once():
    world = samples.world()
    drains = {'d': tickets.DomainDrain(SIBLING)}
    list(core.tick(world, 1.0, [inp.StateRead(limited(2, drains=drains))]))
    assert limits(world, 2.0) == (4, 3)
    list(core.tick(world, 10.0, [inp.StateRead(limited(3))]))
    assert limits(world, 10.0) == (2, 2)


def test_an_expired_limit_is_not_restored_by_a_later_ticket():
    world = samples.world()
    list(core.tick(world, 1.0, [inp.StateRead(limited(2))]))
    assert limits(world, 2.0) == (2, 2)
    drains = {'d': tickets.DomainDrain(SIBLING)}
    drained = limited(3, drains=drains)
    list(core.tick(world, 10.0, [inp.StateRead(drained)]))
    later_ms = 10.0 + drained.services['pricebook'].deadline_max_ms
    assert limits(world, later_ms) == (4, 3)
    drained_again = limited(4, drains=drains)
    list(core.tick(world, later_ms + 1.0, [inp.StateRead(drained_again)]))
    assert limits(world, later_ms + 2.0) == (4, 3)
