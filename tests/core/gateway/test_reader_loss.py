"""Test that a region follows the store whatever happens to its readers."""

import itertools

import pytest

from core.gateway import store_network as networks
from zinnialead_core.gateway.store import const
from zinnialead_core.gateway.store import readers

# Half of the time in which a configuration or a drain must be in force.
BOUND_MS = 1_250.0
BEGIN_MS = 15_000.0
# Long enough to notice that no other region is heard from.
ALONE_MS = 9_000.0
SEEDS = range(4)
REGION = 'guj'
TROUBLES = (
    networks.kill,
    networks.freeze,
    networks.cut_off,
    networks.refuse,
    networks.silence_store,
    networks.delay_inputs,
)
# The readers are lost so long before the change is acknowledged, or after it.
LEADS_MS = (1_500.0, 300.0, 0.0, -5.0)


def _change(network):
    """Make a change of each kind that entries must follow."""
    networks.put_configuration(network, 2)
    networks.register(network, 'u-0', leaving=True)
    networks.leave(network, 'u-1')
    network.drains.add('tn-b')
    networks.rewrite(network)


def _not_followed(world):
    """Return the changes that an entry does not follow yet."""
    table = world.upstreams
    followed = {
        'configuration': networks.version(world) == 2,
        'leaving': 'u-0' in table.rows and table.rows['u-0'].leaving,
        'removal': 'u-1' not in table.rows,
        'drain': 'tn-b' in table.drained,
    }
    return [name for name, done in followed.items() if not done]


def _region_readers(network):
    return [
        name
        for name, world in network.worlds.items()
        if world.node.region == REGION
        and readers.is_reader(world, network.now_ms)
    ]


def _stale_after_loss(network, trouble, lost, lead_ms):
    """Return what entries without trouble do not follow at the bound."""
    acknowledged_ms = network.now_ms + max(0.0, lead_ms)
    lost_ms = acknowledged_ms - lead_ms
    if lead_ms < 0.0:
        _change(network)
    networks.run_until(network, lost_ms)
    for name in lost:
        trouble(network, name)
    networks.run_until(network, acknowledged_ms)
    if lead_ms >= 0.0:
        _change(network)
    networks.run_until(network, acknowledged_ms + BOUND_MS)
    return {
        name: missing
        for name, world in network.worlds.items()
        if name not in lost and (missing := _not_followed(world))
    }


def _new_network(seed, entries):
    """Return a network in calm, at another moment for each seed."""
    network = networks.new_network(seed, entries=entries)
    networks.run_until(network, BEGIN_MS + 130.0 * seed)
    return network


def _in_region(network):
    return [
        name
        for name, world in network.worlds.items()
        if world.node.region == REGION
    ]


@pytest.mark.parametrize('trouble', TROUBLES)
def test_a_region_that_loses_both_readers_follows_the_store(trouble):
    """Calm entries acted on an old version for up to 3.5 s."""
    for seed, lead_ms in itertools.product(SEEDS, LEADS_MS):
        network = _new_network(seed, 12)
        lost = _region_readers(network)
        assert len(lost) == const.READERS
        stale = _stale_after_loss(network, trouble, lost, lead_ms)
        assert not stale, (seed, lead_ms)


@pytest.mark.parametrize('trouble', TROUBLES)
def test_a_region_that_loses_most_entries_follows_the_store(trouble):
    """Those who would take the readers' place were lost with them."""
    for seed in SEEDS:
        network = _new_network(seed, 16)
        found = _region_readers(network)
        others = [x for x in _in_region(network) if x not in found]
        lost = [*found, *others[:3]]
        stale = _stale_after_loss(network, trouble, lost, 300.0)
        assert not stale, seed


@pytest.mark.parametrize('trouble', TROUBLES)
def test_a_region_that_stands_alone_and_loses_two_readers_follows(trouble):
    """No other region could tell it of a change."""
    for seed in SEEDS:
        network = _new_network(seed, 12)
        region = _in_region(network)
        for name in network.worlds.keys() - set(region):
            networks.cut_off(network, name)
        networks.run_until(network, network.now_ms + ALONE_MS)
        lost = _region_readers(network)[: const.READERS]
        stale = _stale_after_loss(network, trouble, lost, 300.0)
        assert not stale.keys() & set(region), seed
