"""Run entries with no components but the engine and the peers."""

import functools

import trio

from core import samples
from zinnialead_config.settings import models as settings
import zinnialead_core as core
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components import peers

SECRET = 'shared-secret-of-the-peers'
START_MS = 1_000_000.0


async def start_entry(nursery, name, secret=SECRET):
    """Start an entry that uses trio's clock."""
    ref = ids.EntryRef(name, 1)
    node = core.NodeRow(ref, samples.DOMAIN, 'kigali', '127.0.0.1:0')
    engine = engines.new_engine(core.new_world(node, seed=1), _now_ms)
    for handler in ('call_store', 'log_change'):
        engine.handlers[handler] = lambda _: None
    keys = [settings.PeerKey(1, secret)]
    entry_peers = await peers.set_up(engine, nursery, '127.0.0.1:0', keys)
    engine.handlers['send_peer'] = functools.partial(peers.send, entry_peers)
    engine.world = engine.world._replace(
        node=node._replace(address=entry_peers.address)
    )
    nursery.start_soon(engines.run_timers, engine)
    engines.feed(engine)
    return entry_peers


def introduce(first, second):
    """Make two entries known to each other, as the platform's list does."""
    for entry_peers, peer in ((first, second), (second, first)):
        node = peer.engine.world.node
        peer_seen = inp.PeerSeen(node.ref.entry, node.domain, node.address)
        engines.feed(entry_peers.engine, peer_seen)


async def until(condition):
    """Wait until a condition holds, while sockets and mock time advance."""
    for _ in range(1_000):
        if condition():
            return
        await trio.sleep(0.1)
    raise AssertionError('the condition never held')


def _now_ms():
    return START_MS + trio.current_time() * 1_000.0
