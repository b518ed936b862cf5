"""Test a complete entry against upstreams whose bytes are no answer."""

import functools

import pytest
import trio

from adapter import deployments
from adapter import raw_upstreams as raw
import endless
from zinnialead_standins import store as stores


async def answer_with(header, exchange):
    name = exchange.request.name
    head, _, rest = raw.answer(name).partition(b'\r\n')
    await exchange.stream.send_all(head + b'\r\n' + header + b'\r\n' + rest)


@pytest.mark.parametrize('digits', [30, 400, 5_000])
@pytest.mark.parametrize(
    'header',
    [
        b'Keep-Alive: timeout=%s',
        b'Zinnialead-Server-Load: %s,0,4',
        b'Zinnialead-Server-Load: 0,0,%s',
        b'Retry-After: %s',
    ],
)
async def test_a_number_that_is_too_large_does_not_end_the_process(
    nursery, header, digits
):
    respond = functools.partial(answer_with, header % (b'9' * digits))
    _, _, settings, _ = await raw.deploy(nursery, respond)
    for name in (b'r-1', b'r-2'):
        answer = await deployments.ask(settings.front_bind, name=name)
        assert answer.status == 200


async def write_long_rubbish(exchange):
    await exchange.stream.send_all(b'rubbish ' * 7_000 + raw.BLANK_LINE)


async def test_rubbish_is_neither_logged_nor_passed_on_at_length(
    nursery, capfd
):
    _, _, settings, _ = await raw.deploy(
        nursery, write_long_rubbish, kind='non_idempotent'
    )
    answer = await deployments.ask(settings.front_bind, method=b'POST')
    assert answer.status == 502
    assert len(answer.body) < 1_000
    await trio.sleep(0.5)
    lines = capfd.readouterr().out.splitlines()
    assert any('MalformedAnswer' in line for line in lines)
    assert max(map(len, lines)) < 1_000


LONG_STRAY = raw.response(
    200, [b'Zinnialead-Request-Id: r-0', b'Content-Length: 1000000000000']
)
LONG_ANSWER = raw.response(
    200,
    [
        b'Zinnialead-Request-Id: r-1',
        b'Zinnialead-Response-Seal: seal',
        b'Content-Length: 1000000000000',
    ],
)
ENDLESS = {
    **endless.ENDLESS,
    'long answer': endless.Endless(LONG_ANSWER, b'a' * 65_536),
    'long stray answer': endless.Endless(LONG_STRAY, b'a' * 65_536),
    'stray answers': endless.Endless(b'', raw.answer('r-0')),
    'stray refusals': endless.Endless(b'', raw.refusal('r-0')),
}


async def write_endless(kind, exchange):
    await endless.write(exchange.stream, ENDLESS[kind])


@pytest.mark.parametrize('kind', ENDLESS)
async def test_an_endless_answer_ejects_its_upstream(nursery, kind):
    respond = functools.partial(write_endless, kind)
    _, (upstream,), settings, _ = await raw.deploy(
        nursery, respond, kind='non_idempotent'
    )
    ask = functools.partial(
        deployments.ask, settings.front_bind, method=b'POST'
    )
    with trio.fail_after(1.0):
        assert (await ask()).status == 502
    with trio.fail_after(0.2):
        await upstream.closed.wait()
    assert (await ask(name=b'r-2')).status == 503
    assert upstream.connections == 1


async def flood_after_answer(pause_s, exchange):
    await raw.run(exchange)
    await trio.sleep(pause_s)
    await endless.write(exchange.stream, ENDLESS['rubbish'])


@pytest.mark.parametrize('pause_s', [0.0, 0.05])
async def test_bytes_without_end_after_an_answer_close_the_connection(
    nursery, pause_s
):
    respond = functools.partial(flood_after_answer, pause_s)
    _, (upstream,), settings, _ = await raw.deploy(nursery, respond)
    assert (await deployments.ask(settings.front_bind)).status == 200
    with trio.fail_after(1.5):
        await upstream.closed.wait()


@pytest.mark.parametrize(
    ('kind', 'drip'),
    [
        ('header', False),
        ('rubbish lines', False),
        ('long body', False),
        ('tiny chunks', False),
        ('trailers', False),
        ('interim responses', False),
        ('status line', True),
        ('long body', True),
    ],
)
async def test_requests_are_served_while_the_store_answers_without_end(
    nursery, kind, drip
):
    store, _, settings, faulty_store = await raw.deploy(nursery, raw.run)
    faulty_store.flood = endless.ENDLESS[kind]
    faulty_store.drip = drip
    # A change ends the calls that wait at the sound store.
    stores.put(store, 'config', 'main', deployments.configuration(2))
    with trio.fail_after(2.0):
        await faulty_store.flooding.wait()
    for number in range(10):
        name = f'r-{number}'.encode()
        with trio.fail_after(0.5):
            answer = await deployments.ask(settings.front_bind, name=name)
        assert answer.status == 200
        await trio.sleep(0.03)
    faulty_store.flood = None
    changed = deployments.configuration(3, path_prefix='/new/')
    stores.put(store, 'config', 'main', changed)
    await deployments.until_served(settings, b'/new/1')


async def drip_endless(kind, exchange):
    await endless.write(exchange.stream, ENDLESS[kind], drip=True)


@pytest.mark.parametrize('request_kind', ['idempotent', 'non_idempotent'])
@pytest.mark.parametrize(
    'kind', ['status line', 'header', 'long answer', 'tiny chunks', 'trailers']
)
async def test_a_dripped_answer_ends_at_the_deadline(
    nursery, kind, request_kind
):
    respond = functools.partial(drip_endless, kind)
    _, (upstream,), settings, _ = await raw.deploy(
        nursery, respond, kind=request_kind, timeout='300ms'
    )
    started_s = trio.current_time()
    answer = await deployments.ask(settings.front_bind)
    assert answer.status == 504
    assert 0.25 < trio.current_time() - started_s < 0.45
    with trio.fail_after(0.1):
        await upstream.closed.wait()
