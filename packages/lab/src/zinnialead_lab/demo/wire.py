"""Carry messages and states between the entries of this process."""

import functools

import httpcore
import msgspec
import trio

import zinnialead_config
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_daemon import application as applications
from zinnialead_daemon.components import engine as engines
from zinnialead_lab.demo import const
from zinnialead_lab.demo import models


def join(demo: models.Demo, application: applications.Application) -> None:
    """Join an entry to the others and to the store."""
    handlers = application.engine.handlers
    send = functools.partial(_send, demo, application)
    handlers['send_peer'] = lambda output: demo.nursery.start_soon(
        send, output
    )
    number = int(application.settings.entry.rpartition('-')[2])
    if number <= const.READERS_PER_DOMAIN:
        demo.nursery.start_soon(_read_states, demo, application)


async def _send(
    demo: models.Demo,
    sender: applications.Application,
    output: out.SendPeer,
) -> None:
    await trio.sleep(const.LATENCY_MS / const.MS_PER_S)
    ref = sender.engine.world.node.ref
    target = demo.entries.get(output.entry)
    source = demo.entries.get(ref.entry)
    if target is None or target.scope.cancel_called:
        return
    if source is not None and source.scope.cancel_called:
        return
    message = inp.PeerMessage(ref, output.message)
    engines.feed(target.application.engine, message)


async def _read_states(
    demo: models.Demo, application: applications.Application
) -> None:
    version = 0
    pool = httpcore.AsyncConnectionPool()
    path = f'http://{demo.store_address}/apis/zinnialead/v1/objects/state'
    while True:
        query = (
            f'watch=true&resourceVersion={version}'
            f'&timeoutSeconds={const.WATCH_TIMEOUT_S}'
        )
        answer = await pool.request('GET', f'{path}?{query}')
        if answer.status != 200:
            continue
        found = msgspec.json.decode(answer.content)['object']
        version = int(found['metadata']['resourceVersion'])
        spec = msgspec.json.encode(found['spec'])
        state = zinnialead_config.decode_state(spec)
        if state.is_ok():
            engines.feed(application.engine, inp.StateRead(state.ok))
