"""Schedule events and simulate the network of a fleet."""

import heapq

from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_lab.fleet import const
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import meters
from zinnialead_lab.fleet import models


def schedule_at(
    fleet: models.Fleet, due_ms: float, event: events.Event
) -> None:
    """Schedule an event at a time."""
    fleet.sequence += 1
    heapq.heappush(fleet.heap, (due_ms, fleet.sequence, event))


def schedule_after(
    fleet: models.Fleet, delay_ms: float, event: events.Event
) -> None:
    """Schedule an event after a delay."""
    schedule_at(fleet, fleet.now_ms + delay_ms, event)


def latency_ms(
    fleet: models.Fleet, from_domain: ids.DomainId, to_domain: ids.DomainId
) -> float:
    """Return the one-way latency between two failure domains."""
    domains = fleet.state.domains
    if domains[from_domain].region == domains[to_domain].region:
        return const.INTRA_REGION_LATENCY_MS
    return const.INTER_REGION_LATENCY_MS


def connected(
    fleet: models.Fleet, from_domain: ids.DomainId, to_domain: ids.DomainId
) -> bool:
    """Return whether no partition separates two domains."""
    return all(
        (from_domain in group) == (to_domain in group)
        for group in fleet.network.isolated_groups
    )


def send_peer(
    fleet: models.Fleet, sender: models.EntryRow, output: out.SendPeer
) -> None:
    """Deliver a message between entries, or drop, duplicate or delay it."""
    fleet.counters[f'peer.{type(output.message).__name__}'] += 1
    if fleet.meter is not None:
        _record_message(fleet, fleet.meter, sender, output)
    target = fleet.entries.get(output.entry)
    if target is None or not connected(fleet, sender.domain, target.domain):
        return
    network = fleet.network
    if network.drop_share and fleet.random.random() < network.drop_share:
        return
    copies = 1
    if network.duplicate_share:
        copies += fleet.random.random() < network.duplicate_share
    message = inp.PeerMessage(sender.ref, output.message)
    for _ in range(copies):
        delay_ms = latency_ms(fleet, sender.domain, target.domain)
        share = network.reorder_share
        if share and fleet.random.random() < share:
            delay_ms += fleet.random.uniform(0, network.reorder_max_ms)
        schedule_after(fleet, delay_ms, events.Deliver(output.entry, message))


def _record_message(
    fleet: models.Fleet,
    meter: meters.Meter,
    sender: models.EntryRow,
    output: out.SendPeer,
) -> None:
    message_type = type(output.message).__name__
    size_bytes = meter.frame_bytes(sender.ref, output.entry, output.message)
    meter.messages[message_type] += 1
    meter.bytes[message_type] += size_bytes
    meter.sent_bytes[sender.ref.entry] += size_bytes
    second = int(fleet.now_ms / 1_000)
    meter.received_bytes[output.entry, second] += size_bytes
