"""Let some entries of each domain read what is in force."""

import httpcore
import msgspec

import zinnialead_config
from zinnialead_core import inputs as inp
from zinnialead_daemon import application as applications
from zinnialead_daemon.components import engine as engines
from zinnialead_lab.demo import const
from zinnialead_lab.demo import models


def join(demo: models.Demo, application: applications.Application) -> None:
    """Let an entry watch the store, if it is one of the readers."""
    number = int(application.settings.entry.rpartition('-')[2])
    if number <= const.READERS_PER_DOMAIN:
        demo.nursery.start_soon(_read_states, demo, application)


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
