"""Test whole entries whose upstreams leave or ask for a pause."""

import msgspec
import pytest
import trio

from adapter import deployments
from zinnialead_standins import store as stores

LEAVING = (b'Server-Leaving', b'1')


async def ask_all(settings, count=12):
    """Ask for different objects; return the statuses."""
    return [
        (
            await deployments.ask(
                settings.front_bind, target=f'/desk/{number}'.encode()
            )
        ).status
        for number in range(count)
    ]


async def until_answered_by(settings, upstream):
    with trio.fail_after(5.0):
        while not upstream.arrived:
            await ask_all(settings, 1)


@pytest.mark.parametrize('behaviour', ['well', 'sheds'])
@pytest.mark.parametrize(
    'condition', [stores.Up(), stores.Silent()], ids=['up', 'silent']
)
async def test_an_upstream_that_says_it_leaves_gets_nothing_more(
    nursery, behaviour, condition
):
    store, upstreams, settings, _ = await deployments.deployment(nursery)
    stores.set_condition(store, condition)
    leaving, stays = upstreams
    leaving.behaviour = behaviour
    leaving.extra_headers.append(LEAVING)
    await until_answered_by(settings, leaving)
    leaving.arrived.clear()
    assert await ask_all(settings) == [200] * 12
    assert not leaving.arrived
    assert len(stays.ran) >= 12


async def test_an_upstream_that_asks_for_a_pause_gets_nothing_until_then(
    nursery,
):
    _, upstreams, settings, _ = await deployments.deployment(nursery)
    pausing, _ = upstreams
    pausing.behaviour = 'sheds'
    pausing.extra_headers.append((b'Retry-After', b'1.2'))
    await until_answered_by(settings, pausing)
    (first_s,) = pausing.arrived
    while trio.current_time() < first_s + 1.1:
        assert await ask_all(settings, 4) == [200] * 4
    assert len(pausing.arrived) == 1
    pausing.behaviour = 'well'
    with trio.fail_after(5.0):
        while not pausing.ran:
            await ask_all(settings, 4)


async def test_the_state_dump_says_why_an_upstream_is_left_alone(nursery):
    store, upstreams, settings, _ = await deployments.deployment(nursery, 3)
    pausing, leaving, _ = upstreams
    pausing.behaviour = 'sheds'
    pausing.extra_headers.append((b'Retry-After', b'5'))
    leaving.extra_headers.append(LEAVING)
    await until_answered_by(settings, pausing)
    await until_answered_by(settings, leaving)
    page = await deployments.ask(settings.metrics_bind, target=b'/v1/dump')
    excluded = msgspec.json.decode(page.body)['excluded']
    assert excluded['i-1'] == {'reason': 'leaving', 'for_ms': None}
    assert excluded['i-0']['reason'] == 'paused'
    assert 0.0 < excluded['i-0']['for_ms'] <= 5_000.0
    assert 'i-2' not in excluded


async def test_requests_to_paused_upstreams_alone_are_refused_at_once(nursery):
    _, (pausing,), settings, _ = await deployments.deployment(nursery, count=1)
    pausing.behaviour = 'sheds'
    pausing.extra_headers.append((b'Retry-After', b'3'))
    await until_answered_by(settings, pausing)
    with trio.fail_after(0.09):
        answer = await deployments.ask(settings.front_bind)
    assert answer.status == 503
    retry_after = dict(answer.headers)[b'Retry-After']
    assert 2.0 <= float(retry_after) <= 3.5
    assert len(pausing.arrived) == 1
