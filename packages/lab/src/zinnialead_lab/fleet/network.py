"""Carry what the parts of a fleet send each other."""

import heapq

from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import meters
from zinnialead_lab.fleet import models


def at(fleet: models.Fleet, due_ms: float, event: events.Event) -> None:
    """Put an event on the heap."""
    fleet.sequence += 1
    heapq.heappush(fleet.heap, (due_ms, fleet.sequence, event))


def after(fleet: models.Fleet, delay_ms: float, event: events.Event) -> None:
    """Put an event on the heap, some time from now."""
    at(fleet, fleet.now_ms + delay_ms, event)


def latency_ms(
    fleet: models.Fleet, one: ids.DomainId, other: ids.DomainId
) -> float:
    """Return the latency one way between two failure domains."""
    domains = fleet.state.domains
    if domains[one].region == domains[other].region:
        return const.DOMAIN_LATENCY_MS
    return const.REGION_LATENCY_MS


def connected(
    fleet: models.Fleet, one: ids.DomainId, other: ids.DomainId
) -> bool:
    """Return whether no partition stands between two domains."""
    return all((one in part) == (other in part) for part in fleet.network.cut)


def send_peer(
    fleet: models.Fleet, sender: models.EntryRow, output: out.SendPeer
) -> None:
    """Carry a message between entries, or lose, copy or delay it."""
    fleet.counters[f'peer.{type(output.message).__name__}'] += 1
    if fleet.meter is not None:
        _meter(fleet, fleet.meter, sender, output)
    target = fleet.entries.get(output.entry)
    if target is None or not connected(fleet, sender.domain, target.domain):
        return
    network = fleet.network
    if network.drop_share and fleet.random.random() < network.drop_share:
        return
    copies = 1
    if network.duplicate_share:
        copies += fleet.random.random() < network.duplicate_share
    item = inp.PeerMessage(sender.ref, output.message)
    for _ in range(copies):
        delay_ms = latency_ms(fleet, sender.domain, target.domain)
        share = network.reorder_share
        if share and fleet.random.random() < share:
            delay_ms += fleet.random.uniform(0, network.reorder_max_ms)
        after(fleet, delay_ms, events.Deliver(output.entry, item))


def _meter(
    fleet: models.Fleet,
    meter: meters.Meter,
    sender: models.EntryRow,
    output: out.SendPeer,
) -> None:
    kind = type(output.message).__name__
    size = meter.frame_bytes(sender.ref, output.entry, output.message)
    meter.messages[kind] += 1
    meter.bytes[kind] += size
    meter.sent_bytes[sender.ref.entry] += size
    second = int(fleet.now_ms / 1_000)
    meter.received_bytes[output.entry, second] += size
