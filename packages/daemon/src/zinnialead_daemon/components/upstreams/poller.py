"""Poll the health and load of upstreams.

The core does not rely on these reports alone.
"""

from collections import abc

import httpcore
import trio

from zinnialead_core.components.steering import slot_owners
from zinnialead_core.components import tickets
from zinnialead_core import inputs as inp
from zinnialead_core.notices import pauses
from zinnialead_daemon.components.engine import coordinator as engines
from zinnialead_daemon.components.upstreams import announcements
from zinnialead_daemon.components.upstreams import calls
from zinnialead_daemon.components.upstreams import const
from zinnialead_daemon.components.upstreams import coordinator
from zinnialead_daemon.components.upstreams import models
import zinnialead_documents as documents

STATUS_OK = 200


async def run(pools: models.Pools) -> None:
    """Poll the upstreams whose slots this entry owns, without end."""
    async with trio.open_nursery() as nursery:
        while True:
            rows = list(owned_upstreams(pools))
            pause_s = const.POLL_PERIOD_MS / const.MS_PER_S
            for row in rows:
                if not is_paused(pools, row):
                    nursery.start_soon(poll, pools, row)
                spread_s = const.POLL_PERIOD_MS / const.MS_PER_S / len(rows)
                pause_s = max(spread_s, 1.0 / const.POLLS_PER_S_MAX)
                await trio.sleep(pause_s)
            if not rows:
                await trio.sleep(pause_s)


def owned_upstreams(pools: models.Pools) -> abc.Iterator[tickets.UpstreamRow]:
    """Yield the upstreams of this domain whose slots this entry owns."""
    world = pools.engine.world
    node = world.node
    rows = world.states['in-force'].upstreams.values()
    local_rows = [row for row in rows if row.domain == node.domain]
    owned_services = {
        service
        for service in {row.service for row in local_rows}
        if slot_owners.slot_owner(world, service, node.domain)
        == node.ref.entry
    }
    return (row for row in local_rows if row.service in owned_services)


def is_paused(pools: models.Pools, row: tickets.UpstreamRow) -> bool:
    """Return whether an upstream wants no request now."""
    now_ms = pools.engine.now_ms()
    return pauses.is_paused(pools.engine.world.pauses, now_ms, row.upstream)


async def poll(pools: models.Pools, row: tickets.UpstreamRow) -> None:
    """Poll one upstream and feed its health and load to the core.

    One that asks for a pause is asked nothing more, and says nothing of its
    health.
    """
    asked_ms = pools.engine.now_ms()
    healthy = False
    load = models.LoadDocument()
    with trio.move_on_after(const.POLL_TIMEOUT_MS / const.MS_PER_S):
        try:
            health = await _get(pools, row, const.HEALTH_PATH)
            if is_paused(pools, row):
                return
            healthy = health.status == STATUS_OK
            load = parse_load(await _get(pools, row, const.LOAD_PATH))
        except coordinator.TRANSPORT_ERRORS:
            pools.engine.world.counters['upstreams.poll_failed'] += 1
    report = inp.UpstreamReport(
        row.upstream,
        healthy,
        load.get('in_flight'),
        load.get('leaving', False),
        asked_ms,
    )
    engines.feed(pools.engine, report)


def parse_load(response: httpcore.Response) -> models.LoadDocument:
    """Return the load in a response, or an empty one if it has none."""
    if response.status != STATUS_OK:
        return models.LoadDocument()
    try:
        load: models.LoadDocument = documents.decode(
            response.content, models.LoadDocument
        )
    except ValueError:
        return models.LoadDocument()
    if load.get('in_flight', 0) < 0:
        return models.LoadDocument()
    return load


async def _get(
    pools: models.Pools, row: tickets.UpstreamRow, path: bytes
) -> httpcore.Response:
    response = await pools.poll_pool.request(
        'GET',
        calls.url(row.address, path),
        extensions=calls.extensions(const.POLL_TIMEOUT_MS),
    )
    name = f'poll of {path.decode()}'
    announcements.feed(pools, row.upstream, row.address, name, response)
    return response
