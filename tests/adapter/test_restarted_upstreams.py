"""Test that an upstream that starts again under its id is treated as cold."""

import dataclasses
import functools
import itertools

import pytest
import trio

from adapter import deployments
from adapter import fakes
from zinnialead_standins import store as stores

COLD_PER_S = 4.3
# The platform's bound: cold_per_s x cold_factor + cold_slack.
ARRIVED_MAX_PER_S = COLD_PER_S * 1.5 + 5.0
WARM_UP_S = 3.0
WORK_S = 0.05
ENTRIES = 6
REQUESTS_PER_S = 90.0


@dataclasses.dataclass
class Upstream:
    """Hold an upstream that runs at one address, one run after the other."""

    instance: str
    address: str = '127.0.0.1:0'
    run: fakes.FakeUpstream | None = None
    scope: trio.CancelScope | None = None


async def start(nursery, upstream, cold_s=0.0):
    """Serve from now on."""
    upstream.run = fakes.FakeUpstream(upstream.instance, work_s=WORK_S)
    upstream.run.cold_until_s = trio.current_time() + cold_s
    upstream.address = await nursery.start(_serve, upstream)


async def _serve(upstream, task_status):
    async with trio.open_nursery() as nursery:
        upstream.scope = nursery.cancel_scope
        address = await fakes.serve_upstream(
            nursery, upstream.run, upstream.address
        )
        task_status.started(address)
        await trio.sleep_forever()


def register(store, upstream, born):
    """Write the registration of the run that began at ``born``."""
    cold_s = max(0.0, upstream.run.cold_until_s - trio.current_time())
    row = deployments.registration(
        upstream.address, born=born, cold_left=f'{cold_s * 1e3:.0f}ms'
    )
    stores.put(store, 'servers', upstream.instance, row)


async def send_requests(nursery, entries):
    """Send requests through all entries in turn, at a steady rate."""
    numbers = itertools.count()
    for settings in itertools.cycle(entries):
        name = b'r-%d' % next(numbers)
        ask = functools.partial(
            deployments.ask, settings.front_bind, name=name
        )
        nursery.start_soon(ask)
        await trio.sleep(1.0 / REQUESTS_PER_S)


def most_in_a_second(times_s):
    return max(sum(x <= y < x + 1.0 for y in times_s) for x in times_s)


async def start_all(nursery, store, address):
    document = deployments.configuration()
    document['services']['desk']['cold_per_s'] = COLD_PER_S
    stores.put(store, 'config', 'main', document)
    upstreams = [Upstream(f'i-{n}') for n in range(3)]
    for upstream in upstreams:
        await start(nursery, upstream)
        register(store, upstream, born=1)
    entries = [
        await deployments.entry(nursery, address, f'edge-{n}')
        for n in range(ENTRIES)
    ]
    for settings in entries:
        await deployments.until_ready(settings)
    return upstreams, entries


@pytest.mark.parametrize('down_s', [0.15, 0.6, 1.2])
@pytest.mark.parametrize(
    ('condition', 'registered_after_s'),
    [
        pytest.param(stores.Up(), 0.0, id='registers at once'),
        pytest.param(stores.Up(), 0.5, id='registers late'),
        pytest.param(stores.Silent(), WARM_UP_S, id='store silent'),
        pytest.param(stores.Down(), WARM_UP_S, id='store down'),
    ],
)
async def test_an_upstream_that_started_again_is_not_flooded(
    nursery, condition, registered_after_s, down_s
):
    store = stores.new_store()
    address = await fakes.serve_store(nursery, store)
    upstreams, entries = await start_all(nursery, store, address)
    nursery.start_soon(send_requests, nursery, entries)
    await trio.sleep(2.0)
    restarted = upstreams[0]
    assert most_in_a_second(restarted.run.arrived) > ARRIVED_MAX_PER_S
    stores.set_condition(store, condition)
    restarted.scope.cancel()
    await trio.sleep(down_s)
    await start(nursery, restarted, cold_s=WARM_UP_S)
    await trio.sleep(registered_after_s)
    stores.set_condition(store, stores.Up())
    register(store, restarted, born=2)
    await trio.sleep(WARM_UP_S - registered_after_s)
    arrived = restarted.run.arrived
    assert 0 < most_in_a_second(arrived) <= ARRIVED_MAX_PER_S
