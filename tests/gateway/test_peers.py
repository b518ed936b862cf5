"""Test the datagrams between entries."""

import socket

import pytest
import trio
import trio.testing

from core.gateway import samples
from zinnialead_core import gateway
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_gateway import engine as engines
from zinnialead_gateway.peers import codec
from zinnialead_gateway.peers import coordinator as peers


def heartbeat(number):
    return entries.Heartbeat(f'edge-{number}', 1, False, True)


async def set_up(nursery, monkeypatch):
    """Return peers and the list of the inputs of each tick."""
    batches = []

    def feed(_, *inputs):
        batches.append(inputs)

    monkeypatch.setattr(engines, 'feed', feed)
    engine = engines.new_engine(gateway.new_world(samples.node(), seed=1))
    return await peers.set_up(engine, nursery, '127.0.0.1:0', ()), batches


def address_of(entry_peers):
    host, port = entry_peers.socket.getsockname()
    return f'{host}:{port}'


async def test_datagrams_that_arrive_together_take_few_ticks(
    nursery, monkeypatch
):
    """Each heartbeat of each entry woke the process and ran a tick."""
    receiver, batches = await set_up(nursery, monkeypatch)
    for number in range(100):
        output = out.SendHeartbeat((address_of(receiver),), heartbeat(number))
        peers.send_heartbeat(receiver, output)
    await trio.sleep(3 * peers.RECEIVE_PAUSE_S)
    received = [event for batch in batches for event in batch]
    assert len(received) == 100
    assert set(received) == {
        inp.HeartbeatReceived(heartbeat(number)) for number in range(100)
    }
    assert len(batches) <= 3


@pytest.mark.parametrize('data', [b'', b'x', bytes(2_000), b'a' * 20_000])
async def test_a_malformed_datagram_costs_no_other_one(
    nursery, monkeypatch, data
):
    receiver, batches = await set_up(nursery, monkeypatch)
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        target = receiver.socket.getsockname()
        sender.sendto(data, target)
        sender.sendto(codec.encode_heartbeat(heartbeat(1)), target)
    await trio.sleep(2 * peers.RECEIVE_PAUSE_S)
    assert batches == [(inp.HeartbeatReceived(heartbeat(1)),)]
    assert receiver.engine.world.counters['peers.malformed'] == 1


async def test_an_address_that_can_not_be_reached_costs_no_other_one(
    nursery, monkeypatch
):
    receiver, batches = await set_up(nursery, monkeypatch)
    addresses = ('nowhere', '127.0.0.1:99999', address_of(receiver))
    peers.send_heartbeat(receiver, out.SendHeartbeat(addresses, heartbeat(1)))
    await trio.sleep(2 * peers.RECEIVE_PAUSE_S)
    assert batches == [(inp.HeartbeatReceived(heartbeat(1)),)]
    assert receiver.engine.world.counters['peers.unsent'] == 2


async def test_closing_the_socket_ends_the_tasks_that_use_it(monkeypatch):
    async with trio.open_nursery() as nursery:
        entry_peers, _ = await set_up(nursery, monkeypatch)
        await trio.testing.wait_all_tasks_blocked()
        peers.unload(entry_peers)
        await trio.sleep(2 * peers.RECEIVE_PAUSE_S)
        assert not nursery.child_tasks
