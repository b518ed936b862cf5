"""Test a complete entry over loopback."""

import functools
import re
import socket

import msgspec
import pytest
import trio
import typer.testing

from adapter import deployments
from adapter import fakes
from zinnialead_cli import main
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway.store import models as store_models
from zinnialead_gateway.peers import codec
from zinnialead_standins import store as stores


async def test_a_request_is_served(nursery):
    _, upstreams, settings, _ = await deployments.deployment(nursery)
    answer = await deployments.ask(settings.front_bind)
    assert (answer.status, answer.body) == (200, b'done')
    assert [x for fake in upstreams for x in fake.ran] == ['r-1']


async def test_an_unknown_route_is_not_found(nursery):
    _, _, settings, _ = await deployments.deployment(nursery)
    assert (
        await deployments.ask(settings.front_bind, target=b'/x/')
    ).status == 404


async def test_a_look_up_names_the_entry(nursery):
    _, _, settings, _ = await deployments.deployment(nursery)
    target = b'/resolve?name=a&region=guj&zone=guj-a'
    answer = await deployments.ask(settings.directory_bind, target=target)
    assert settings.front_bind.encode() in answer.body


@pytest.mark.parametrize('behaviour', ['cuts', 'unsealed'])
async def test_a_non_idempotent_request_is_not_retried(nursery, behaviour):
    _, upstreams, settings, _ = await deployments.deployment(
        nursery, kind='non_idempotent'
    )
    for upstream in upstreams:
        upstream.behaviour = behaviour
    answer = await deployments.ask(settings.front_bind, method=b'POST')
    assert answer.status == 502
    assert len([x for fake in upstreams for x in fake.ran]) == 1


async def test_a_request_that_every_upstream_sheds_is_refused(nursery):
    _, upstreams, settings, _ = await deployments.deployment(
        nursery, kind='non_idempotent'
    )
    for upstream in upstreams:
        upstream.behaviour = 'sheds'
    answer = await deployments.ask(settings.front_bind, method=b'POST')
    assert answer.status == 503
    assert b'retry-after' in {k.lower() for k, _ in answer.headers}
    assert not [x for fake in upstreams for x in fake.ran]


async def test_an_idempotent_request_is_retried(nursery):
    _, upstreams, settings, _ = await deployments.deployment(nursery)
    upstreams[0].behaviour = upstreams[1].behaviour = 'cuts'
    assert (await deployments.ask(settings.front_bind)).status == 502
    assert len([x for fake in upstreams for x in fake.ran]) == 2


async def test_a_reused_address_runs_no_request_for_the_old_upstream(nursery):
    _, upstreams, settings, _ = await deployments.deployment(nursery)
    upstreams[0].instance = 'i-other'
    for number in range(8):
        name = f'r-{number}'.encode()
        target = f'/desk/{number}'.encode()
        answer = await deployments.ask(
            settings.front_bind, name=name, target=target
        )
        assert answer.status == 200
    assert not upstreams[0].ran


async def test_a_draining_upstream_gets_no_requests(nursery):
    store, upstreams, settings, _ = await deployments.deployment(nursery)
    spec = store.objects['servers']['i-0']['spec']
    stores.put(store, 'servers', 'i-0', {**spec, 'state': 'draining'})
    await trio.sleep(0.6)
    upstreams[0].ran.clear()
    for number in range(8):
        target = f'/desk/{number}'.encode()
        await deployments.ask(settings.front_bind, target=target)
    assert not upstreams[0].ran


@pytest.mark.parametrize(
    'condition', [stores.Down(), stores.Busy(), stores.Silent()]
)
async def test_requests_are_served_while_the_store_fails(nursery, condition):
    store, _, settings, _ = await deployments.deployment(nursery)
    stores.set_condition(store, condition)
    await trio.sleep(0.3)
    assert (await deployments.ask(settings.front_bind)).status == 200
    stores.set_condition(store, stores.Up())
    stores.put(
        store,
        'config',
        'main',
        deployments.configuration(2, path_prefix='/new/'),
    )
    await deployments.until_served(settings, b'/new/1')


async def test_a_registration_with_a_lost_response_is_made_once(nursery):
    store = stores.new_store()
    store.condition = stores.LosesAnswers()
    stores.put(store, 'config', 'main', deployments.configuration())
    address = await fakes.serve_store(nursery, store)
    await deployments.entry(nursery, address)
    await trio.sleep(0.5)
    stores.set_condition(store, stores.Up())
    await trio.sleep(1.5)
    (kind,) = [x for x in store.objects if x.endswith('entries')]
    assert list(store.objects[kind]) == ['edge-1']
    calls = store.calls[f'POST {kind}'] + store.calls[f'PUT {kind}']
    assert calls <= 6


async def test_an_entry_starts_without_the_store_from_a_seed(nursery):
    store, _, settings, address = await deployments.deployment(nursery)
    stores.set_condition(store, stores.Silent())
    seed = settings.snapshot_binds[1]
    other = await deployments.entry(nursery, address, 'edge-2', f'"{seed}"')
    await deployments.until_ready(other)
    assert (await deployments.ask(other.front_bind)).status == 200


async def test_the_metrics_page_counts_requests(nursery):
    _, _, settings, _ = await deployments.deployment(nursery)
    await deployments.ask(settings.front_bind)
    page = await deployments.ask(settings.metrics_bind, target=b'/metrics')
    assert b'zinnialead_events_total{event="requests.arrived"} 1.0' in (
        page.body
    )
    assert b'zinnialead_request_ms_bucket' in page.body


async def test_a_disconnected_caller_frees_its_upstream(nursery):
    _, upstreams, settings, _ = await deployments.deployment(nursery, count=1)
    upstreams[0].work_s = 5.0
    with trio.move_on_after(0.2):
        await deployments.ask(settings.front_bind)
    upstreams[0].work_s = 0.0
    await trio.sleep(0.2)
    answer = await deployments.ask(settings.front_bind, name=b'r-2')
    assert answer.status == 200


async def test_a_request_is_refused_at_its_deadline(nursery):
    _, upstreams, settings, _ = await deployments.deployment(
        nursery, count=1, timeout='300ms'
    )
    upstreams[0].work_s = 5.0
    with trio.fail_after(1.0):
        assert (await deployments.ask(settings.front_bind)).status == 504


async def test_operators_read_the_active_configuration(nursery):
    store, _, settings, _ = await deployments.deployment(nursery)
    stores.put(store, 'evacuations', 'tn-a', {})
    await trio.sleep(0.5)
    address = settings.metrics_bind
    run = functools.partial(
        typer.testing.CliRunner().invoke, main.app, catch_exceptions=False
    )
    options = ['--entry', address, '--token', 'none']
    result = await trio.to_thread.run_sync(run, ['in-force', *options])
    document = msgspec.json.decode(result.stdout)
    assert document['configuration']['version'] == 1
    assert document['drained'] == ['tn-a']
    result = await trio.to_thread.run_sync(run, ['dump', *options])
    document = msgspec.json.decode(result.stdout)
    assert {x['upstream'] for x in document['upstreams']} == {'i-0', 'i-1'}


async def test_the_metrics_show_for_how_long_a_change_is_missing(nursery):
    _, _, settings, _ = await deployments.deployment(nursery)
    told = entries.Heartbeat('edge-9', 1, False, True, (99, 0, 0, 0))
    host, port = settings.peers_bind.split(':')
    with socket.socket(type=socket.SOCK_DGRAM) as sock:
        data = codec.encode_heartbeat(told)
        sock.sendto(data, (host, int(port)))
    await trio.sleep(0.3)
    page = await deployments.ask(settings.metrics_bind, target=b'/metrics')
    gauge = re.compile(rb'zinnialead_behind_ms{kind="([^"]+)"} (\S+)')
    found = {kind: float(value) for kind, value in gauge.findall(page.body)}
    assert found.keys() == {x.value.encode() for x in store_models.Kind}
    missing = {kind for kind, value in found.items() if value > 0.0}
    assert missing == {b'configuration'}
