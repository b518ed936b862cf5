"""Send heartbeats as datagrams, and hear those of others."""

import dataclasses

import trio

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import sockets
from zinnialead_gateway.peers import codec


@dataclasses.dataclass(slots=True)
class Peers:
    """Hold the socket that heartbeats go through."""

    engine: engines.Engine
    nursery: trio.Nursery
    socket: trio.socket.SocketType


async def set_up(
    engine: engines.Engine, nursery: trio.Nursery, bind: str
) -> Peers:
    """Return peers whose socket is bound."""
    sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    await sock.bind(sockets.parse_address(bind))
    return Peers(engine, nursery, sock)


def unload(peers: Peers) -> None:
    """Close the socket."""
    peers.socket.close()


def send(peers: Peers, output: out.SendBeat) -> None:
    """Send a heartbeat; one that can't be sent is counted."""
    peers.nursery.start_soon(_send, peers, output)


async def _send(peers: Peers, output: out.SendBeat) -> None:
    data = codec.encode(output.beat)
    for address in output.addresses:
        try:
            await peers.socket.sendto(data, sockets.parse_address(address))
        except (OSError, ValueError):
            peers.engine.world.counters['peers.unsent'] += 1


async def hear(peers: Peers) -> None:
    """Feed heartbeats to the core for good."""
    while True:
        try:
            data, _ = await peers.socket.recvfrom(codec.BEAT_BYTES_MAX + 1)
            beat = codec.decode(data)
        except ValueError:
            peers.engine.world.counters['peers.malformed'] += 1
            continue
        except OSError:
            # A peer's port without a listener shows as a refused datagram.
            peers.engine.world.counters['peers.receive_failed'] += 1
            continue
        engines.feed(peers.engine, inp.BeatHeard(beat))
