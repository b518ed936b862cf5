"""Simulate entries on a lossy network with one mock clock."""

import dataclasses
import heapq
import itertools
import random
import typing

import zinnialead_core as core
from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module

LATENCY_MS = 1.0


class Delivery(typing.NamedTuple):
    due_ms: float
    sequence: int
    entry: str
    packet: object


@dataclasses.dataclass
class Network:
    worlds: dict
    random: random.Random
    now_ms: float = 0.0
    drop_share: float = 0.0
    delay_max_ms: float = 0.0
    deliveries: list = dataclasses.field(default_factory=list)
    stopped: set = dataclasses.field(default_factory=set)
    isolated: set = dataclasses.field(default_factory=set)
    health_changes: list = dataclasses.field(default_factory=list)
    sent_counts: dict = dataclasses.field(default_factory=dict)
    due_ms: dict = dataclasses.field(default_factory=dict)
    sequences: object = dataclasses.field(default_factory=itertools.count)
    store_calls: list = dataclasses.field(default_factory=list)


def new_world(entry, domain, incarnation=1, seed=0):
    ref = ids.EntryRef(entry, incarnation)
    node = world_module.NodeRow(ref, domain, domain[0], f'{entry}:1')
    return core.new_world(node, seed)


def new_network(domains, seed=1):
    """Return entries named after their domains, each given the full list."""
    domains_by_entry = {
        f'{d}{n}': d for d, size in domains.items() for n in range(size)
    }
    network = Network({}, random.Random(seed))
    for number, (entry, domain) in enumerate(domains_by_entry.items()):
        network.worlds[entry] = new_world(entry, domain, seed=number)
    for entry in domains_by_entry:
        feed(network, entry, *listing(domains_by_entry))
    return network


def listing(domains_by_entry):
    return [inp.PeerSeen(e, d, f'{e}:1') for e, d in domains_by_entry.items()]


def feed(network, entry, *inputs):
    world = network.worlds[entry]
    outputs = list(core.tick(world, network.now_ms, inputs))
    network.due_ms[entry] = core.next_due_ms(world)
    for output in outputs:
        match output:
            case out.SendPeer(target, message):
                name = type(message).__name__
                network.sent_counts[name] = (
                    network.sent_counts.get(name, 0) + 1
                )
                _send(network, entry, target, message)
            case out.LogChange('members', subject, _, after):
                network.health_changes.append(
                    (network.now_ms, entry, subject, after)
                )
            case out.CallStore():
                network.store_calls.append((network.now_ms, entry, output))


def _send(network, entry, target, message):
    if target not in network.worlds or (entry in network.isolated) != (
        target in network.isolated
    ):
        return
    if network.random.random() < network.drop_share:
        return
    ref = network.worlds[entry].node.ref
    delay_ms = LATENCY_MS + network.random.uniform(0.0, network.delay_max_ms)
    packet = inp.PeerMessage(ref, message)
    delivery = Delivery(
        network.now_ms + delay_ms, next(network.sequences), target, packet
    )
    heapq.heappush(network.deliveries, delivery)


def run_until(network, end_ms):
    """Deliver messages and fire timers in order of time."""
    while True:
        due = (
            [(network.deliveries[0].due_ms, '')] if network.deliveries else []
        )
        awake = network.due_ms.keys() - network.stopped
        due.extend((network.due_ms[entry], entry) for entry in awake)
        if not due or min(due)[0] > end_ms:
            break
        due_ms, entry = min(due)
        network.now_ms = max(network.now_ms, due_ms)
        if entry:
            feed(network, entry)
            continue
        delivery = heapq.heappop(network.deliveries)
        if delivery.entry not in network.stopped:
            feed(network, delivery.entry, delivery.packet)
    network.now_ms = end_ms


def health(network, viewer, entry):
    row = network.worlds[viewer].members.get(entry)
    return row.health if row else None


def health_seen_by_others(network, entry):
    """Return the states that the other running entries have for an entry."""
    return {
        health(network, viewer, entry)
        for viewer in network.worlds
        if viewer != entry and viewer not in network.stopped
    }


def all_alive(network):
    alive = {members.Health.ALIVE}
    return all(
        health_seen_by_others(network, entry) == alive
        for entry in network.worlds
    )
