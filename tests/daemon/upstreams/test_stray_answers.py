"""Send requests through an entry to upstreams that repeat answers."""

import functools
import time

import httpcore
import pytest
import trio

from core import samples
from daemon import entries
from daemon import raw_upstreams as raw
from zinnialead_core.components import keys

NOW_MS = time.time() * 1_000.0
PREFIX = keys.prefix(samples.REF, None, NOW_MS)


async def ask(address, path, number, headers=()):
    """Send work under a key of its own."""
    key = (b'idempotency-key', f'{PREFIX}.n{number}'.encode())
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            'POST',
            f'http://{address}/v1/services/intake/{path}',
            headers=[key, *headers],
        )


def verdict_of(answer):
    return dict(answer.headers)[b'zinnialead-verdict']


async def start(nursery, respond):
    upstream = raw.RawUpstream(respond)
    address = await raw.serve(nursery, upstream)
    _, addresses = await entries.start(nursery, address)
    return upstream, functools.partial(ask, addresses.callers)


async def glue(repeat, exchange):
    """Answer, and glue a repeat to the first answer of a connection."""
    data = raw.answer(exchange.request_id, exchange.path.encode())
    if not exchange.earlier_ids:
        data += repeat(exchange.request_id)
    await exchange.stream.send_all(data)


async def precede(repeat, exchange):
    """Answer, after a repeat if the connection was used before."""
    if exchange.earlier_ids:
        await exchange.stream.send_all(repeat(exchange.earlier_ids[0]))
    data = raw.answer(exchange.request_id, exchange.path.encode())
    await exchange.stream.send_all(data)


def shed_without_id(_):
    return raw.response(503, 'Zinnialead-Shed: 1')


def answer_without_id(_):
    return raw.response(201, body=b'other')


def answer(request_id):
    return raw.answer(request_id, b'other')


@pytest.mark.parametrize('place', [glue, precede])
@pytest.mark.parametrize(
    'repeat', [raw.shed, shed_without_id, answer, answer_without_id]
)
async def test_a_repeated_answer_is_no_answer_to_the_next_request(
    nursery, place, repeat
):
    upstream, send = await start(nursery, functools.partial(place, repeat))
    for number in range(4):
        answer = await send(f'w{number}', number)
        expected = f'/w{number}'.encode()
        assert (verdict_of(answer), answer.content) == (
            b'ran',
            expected,
        ) or verdict_of(answer) == b'may-have-run'
        assert upstream.paths.count(f'/w{number}') == 1
    nursery.cancel_scope.cancel()


async def answer_unnamed(exchange):
    await exchange.stream.send_all(raw.response(201, body=b'booked'))


async def test_an_upstream_that_echoes_no_id_is_sent_one_request_a_connection(
    nursery,
):
    connections = []

    async def respond(exchange):
        connections.append(exchange.connection)
        await answer_unnamed(exchange)

    _, send = await start(nursery, respond)
    for number in range(3):
        answer = await send('w', number)
        assert (verdict_of(answer), answer.content) == (b'ran', b'booked')
    assert len(set(connections)) == 3
    nursery.cancel_scope.cancel()


async def test_an_upstream_that_echoes_the_id_keeps_its_connection(nursery):
    connections = []

    async def respond(exchange):
        connections.append(exchange.connection)
        await exchange.stream.send_all(raw.answer(exchange.request_id))

    _, send = await start(nursery, respond)
    for number in range(3):
        assert verdict_of(await send('w', number)) == b'ran'
    assert len(set(connections)) == 1
    nursery.cancel_scope.cancel()


NEVER_STARTED = raw.response(200, body=b'never-started')
STARTED = raw.response(200, body=b'started')


async def cancel_with_repeat(exchange):
    """Run work without an answer; repeat a connection's first cancel."""
    if exchange.path != '/zinnialead/cancel':
        return
    first = '/first' in exchange.upstream.paths[-2:]
    reply = NEVER_STARTED if first else STARTED
    if exchange.earlier_ids and not first:
        reply = NEVER_STARTED + reply
    await exchange.stream.send_all(reply)


async def test_a_repeated_promise_not_to_start_is_not_believed(nursery):
    upstream, send = await start(nursery, cancel_with_repeat)
    soon = [(b'zinnialead-deadline-ms', b'200')]
    for number, path in enumerate(['first', 'second', 'second']):
        await send(path, min(number, 1), headers=soon)
        await trio.sleep(0.1)
    assert upstream.paths.count('/second') == 1
    nursery.cancel_scope.cancel()


async def precede_with_cut_shed(text, exchange):
    if exchange.earlier_ids:
        shed = raw.shed(exchange.earlier_ids[0]).decode()
        cut = shed.index(text) + len(text)
        await exchange.stream.send_all(shed[:cut].encode())
    data = raw.answer(exchange.request_id, exchange.path.encode())
    await exchange.stream.send_all(data)


@pytest.mark.parametrize('text', ['503 Rea', 'Shed: 1', 'Request-Id: entry'])
async def test_a_refusal_cut_off_before_the_answer_is_not_believed(
    nursery, text
):
    respond = functools.partial(precede_with_cut_shed, text)
    upstream, send = await start(nursery, respond)
    for number, verdict in enumerate([b'ran', b'may-have-run', b'ran']):
        assert verdict_of(await send(f'w{number}', number)) == verdict
        assert upstream.paths.count(f'/w{number}') == 1
    nursery.cancel_scope.cancel()
