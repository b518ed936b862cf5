"""Exchange messages between entries on loopback."""

import contextlib

import pytest
import trio
import trio.testing

from core import samples
from daemon.components.peers import peer_samples
import zinnialead_config as config
from zinnialead_core.components import members
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components import peers
from zinnialead_daemon.components.peers import addresses
from zinnialead_daemon.components.peers import const
from zinnialead_daemon.components.peers import diagnostics


@pytest.fixture
def mock_clock():
    # Gives loopback this long to deliver data before the clock jumps.
    return trio.testing.MockClock(autojump_threshold=0.005)


async def test_entries_connect_and_a_state_spreads(nursery, mock_clock):
    first_entry = await peer_samples.start_entry(nursery, 'e1')
    second_entry = await peer_samples.start_entry(nursery, 'e2')
    peer_samples.introduce(first_entry, second_entry)
    engines.feed(first_entry.engine, inp.StateRead(samples.state(number=7)))
    await peer_samples.until(
        lambda: second_entry.engine.world.states['in-force'].number == 7
    )
    row = second_entry.engine.world.members['e1']
    assert row.health is members.Health.ALIVE
    assert diagnostics.dump(second_entry)['links']['e1']['connected']
    nursery.cancel_scope.cancel()


async def test_unsigned_and_malformed_frames_are_counted(nursery, mock_clock):
    local_entry = await peer_samples.start_entry(nursery, 'e1')
    host, port = addresses.parse(local_entry.address)
    counters = local_entry.engine.world.counters
    stream = await trio.open_tcp_stream(host, port)
    await stream.send_all(b'\x04\x00\x00\x00junk' * 3)
    await peer_samples.until(lambda: counters['peers.frames_malformed'] == 3)
    await stream.send_all(b'\xff\xff\xff\xff')
    with contextlib.suppress(trio.BrokenResourceError):
        while await stream.receive_some(100):
            pass
    assert counters['peers.frames_oversized'] == 1
    unknown_peer = await peer_samples.start_entry(
        nursery, 'e2', 'another-secret-key'
    )
    peer_samples.introduce(unknown_peer, local_entry)
    probe = members.Probe(1, 0, ())
    peers.send(unknown_peer, out.SendPeer('e1', probe))
    # The row of the entry with the other key, and the probe.
    await peer_samples.until(lambda: counters['peers.frames_foreign'] >= 2)
    nursery.cancel_scope.cancel()


async def test_an_unconfirmed_link_is_closed_and_opened_again(
    nursery, mock_clock
):
    accepted = []

    async def accept_silently(stream):
        accepted.append(stream)
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, accept_silently, listeners)
    local_entry = await peer_samples.start_entry(nursery, 'e1')
    port = listeners[0].socket.getsockname()[1]
    peer_seen = inp.PeerSeen('e2', samples.DOMAIN, f'127.0.0.1:{port}')
    engines.feed(local_entry.engine, peer_seen)
    counters = local_entry.engine.world.counters
    await peer_samples.until(lambda: counters['peers.links_silent'] > 0)
    await peer_samples.until(lambda: len(accepted) > 1)
    nursery.cancel_scope.cancel()


async def test_a_full_outbox_drops_the_oldest_and_send_never_blocks(
    nursery, mock_clock
):
    local_entry = await peer_samples.start_entry(nursery, 'e1')
    engines.feed(local_entry.engine, inp.PeerSeen('e2', 'x', '127.0.0.1:1'))
    for number in range(const.OUTBOX_MAX + 5):
        peers.send(
            local_entry, out.SendPeer('e2', members.ProbeFor(number, 'e3'))
        )
    link = local_entry.links['e2']
    assert len(link.outbox) == const.OUTBOX_MAX
    assert link.outbox[-1].message.sequence == const.OUTBOX_MAX + 4
    counters = local_entry.engine.world.counters
    assert counters['peers.dropped_full'] == 5
    peers.send(local_entry, out.SendPeer('e9', members.ProbeFor(1, 'e3')))
    assert counters['peers.unknown_recipient'] == 1
    nursery.cancel_scope.cancel()


async def test_a_message_outside_the_schema_is_dropped_and_counted(
    nursery, mock_clock
):
    first_entry = await peer_samples.start_entry(nursery, 'e1')
    second_entry = await peer_samples.start_entry(nursery, 'e2')
    peer_samples.introduce(first_entry, second_entry)
    peers.send(first_entry, out.SendPeer('e2', members.ProbeFor(-1, 'e3')))
    counters = first_entry.engine.world.counters
    await peer_samples.until(lambda: counters['peers.unencodable'] == 1)
    await peer_samples.until(lambda: first_entry.links['e2'].connected)
    nursery.cancel_scope.cancel()


async def test_unauthenticated_connections_are_limited_and_time_out(
    nursery, mock_clock
):
    local_entry = await peer_samples.start_entry(nursery, 'e1')
    host, port = addresses.parse(local_entry.address)
    streams = [
        await trio.open_tcp_stream(host, port)
        for _ in range(const.UNAUTHENTICATED_MAX + 3)
    ]
    counters = local_entry.engine.world.counters
    await peer_samples.until(lambda: counters['peers.accept_refused'] == 3)
    assert local_entry.unauthenticated == const.UNAUTHENTICATED_MAX
    await peer_samples.until(lambda: local_entry.unauthenticated == 0)
    assert local_entry.accepted == 0
    for stream in streams:
        await stream.aclose()
    nursery.cancel_scope.cancel()


async def test_an_entry_unknown_to_its_peer_is_answered(nursery, mock_clock):
    first_entry = await peer_samples.start_entry(nursery, 'e1')
    second_entry = await peer_samples.start_entry(nursery, 'e2')
    node = second_entry.engine.world.node
    peer_seen = inp.PeerSeen('e2', node.domain, node.address)
    engines.feed(first_entry.engine, peer_seen)
    peers.send(first_entry, out.SendPeer('e2', members.MembersAsk('', '')))
    await peer_samples.until(
        lambda: first_entry.engine.world.members['e2'].incarnation
    )
    assert second_entry.engine.world.counters['peers.unknown_recipient'] == 0
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1:99999',
        '127.0.0.1:' + '9' * 20,
        '127.0.0.1:' + '9' * 5_000,
        '127.0.0.1:-1',
        '127.0.0.1:\u0668',
        '127.0.0.1:\u00b2',
        '127.0.0.1',
        'nowhere',
        ':80',
        '',
    ],
)
async def test_an_address_out_of_range_ends_no_entry(nursery, address):
    """A port of 20 digits raised OverflowError, which ended the process."""
    entry = await peer_samples.start_entry(nursery, 'e1')
    seen = inp.PeerSeen('odd', samples.DOMAIN, address)
    engines.feed(entry.engine, seen)
    counters = entry.engine.world.counters
    await peer_samples.until(lambda: counters['peers.connect_failed'])
    with pytest.raises(ValueError):
        addresses.parse(address)
    nursery.cancel_scope.cancel()


async def test_a_state_with_a_huge_number_leaves_the_links_at_work(nursery):
    first = await peer_samples.start_entry(nursery, 'e1')
    second = await peer_samples.start_entry(nursery, 'e2')
    peer_samples.introduce(first, second)
    encoded = config.encode_state(samples.state(number=4))
    huge = encoded.replace(b'"number":4', b'"number":1%s' % (b'0' * 30), 1)
    assert huge != encoded
    decoded = config.decode_state(huge)
    if decoded.is_ok():
        engines.feed(first.engine, inp.StateRead(decoded.ok))
    await trio.sleep(2.0)
    assert not first.engine.world.counters['peers.unencodable']
    assert second.engine.world.members['e1'].health is members.Health.ALIVE
    nursery.cancel_scope.cancel()
