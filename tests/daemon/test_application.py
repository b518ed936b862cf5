"""Send requests through a complete entry on loopback."""

import httpcore
import pytest
import trio
import trio.testing

from core import samples
from daemon import entries
from zinnialead_core import inputs as inp
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon import http

HEAD = b'POST /v1/PATH HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n'


async def upstream(scope, receive, send):
    await http.respond(send, 201, [], b'booked')


async def test_a_request_with_a_key_runs_once(nursery):
    address = await nursery.start(
        http.serve, upstream, '127.0.0.1:0', trio.sleep_forever
    )
    entry, addresses = await entries.start(nursery, address)
    callers_address = addresses.callers
    async with httpcore.AsyncConnectionPool() as pool:
        url = f'http://{callers_address}/v1/services/intake/book'
        issued_key = samples.issued_key('k', entry.engine.now_ms())
        headers = [(b'idempotency-key', issued_key.encode())]
        for _ in range(2):
            answer = await pool.request('POST', url, headers=headers)
            assert (answer.status, answer.content) == (201, b'booked')
            assert (b'zinnialead-verdict', b'ran') in answer.headers
    assert entry.engine.world.counters['requests.dispatched'] == 1
    nursery.cancel_scope.cancel()


async def test_a_stop_lets_a_request_in_flight_finish(nursery):
    reached = trio.Event()
    finish = trio.Event()

    async def slow(scope, receive, send):
        if scope['path'] != '/work':
            await http.respond(send, 200, [], b'{}')
            return
        reached.set()
        await finish.wait()
        await http.respond(send, 200, [], b'whole')

    address = await nursery.start(
        http.serve, slow, '127.0.0.1:0', trio.sleep_forever
    )
    answers = []

    async def send_request(callers):
        async with httpcore.AsyncConnectionPool() as pool:
            url = f'http://{callers}/v1/services/pricebook/work'
            answers.append(await pool.request('POST', url))

    async with trio.open_nursery() as entry_nursery:
        entry, addresses = await entries.start(entry_nursery, address)
        entry_nursery.start_soon(send_request, addresses.callers)
        await reached.wait()
        entry.linger_s = 0.0
        engines.feed(entry.engine, inp.StopRequested())
        finish.set()
    assert entry.stopped.is_set()
    assert [answer.content for answer in answers] == [b'whole']
    nursery.cancel_scope.cancel()


async def test_each_answer_during_a_stop_closes_its_connection(nursery):
    reached, finish = trio.Event(), trio.Event()

    async def slow(scope, receive, send):
        if scope['path'] == '/work':
            reached.set()
            await finish.wait()
        await http.respond(send, 200, [], b'{}')

    address = await nursery.start(
        http.serve, slow, '127.0.0.1:0', trio.sleep_forever
    )
    entry, addresses = await entries.start(nursery, address)
    answers = {}

    async def ask(method, path):
        async with httpcore.AsyncConnectionPool() as pool:
            url = f'http://{addresses.callers}{path}'
            answers[path] = await pool.request(method, url)

    async with trio.open_nursery() as callers:
        callers.start_soon(ask, 'POST', '/v1/services/pricebook/work')
        await reached.wait()
        engines.feed(entry.engine, inp.StopRequested())
        await ask('GET', '/v1/look-up?service=pricebook')
        await ask('POST', '/v1/services/pricebook/new')
        await ask('POST', '/v1/services/pricebook/late?x=%ff')
        await ask('GET', '/elsewhere')
        finish.set()
    assert [answer.status for answer in answers.values()] == [
        *(200, 503, 400, 404, 200)
    ]
    for path, answer in answers.items():
        assert (b'connection', b'close') in answer.headers, path
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('path', ['services/pricebook/work', 'look-up'])
async def test_a_stop_answers_a_call_whose_body_is_being_read(nursery, path):
    entry, addresses = await entries.start(nursery, '127.0.0.1:1')
    host, _, port = addresses.callers.rpartition(':')
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        head = HEAD.replace(b'PATH', path.encode())
        await stream.send_all(head + b'half of the')
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert not entry.front.idle.is_set()
        engines.feed(entry.engine, inp.StopRequested())
        with trio.fail_after(2.0):
            answer = b''.join([chunk async for chunk in stream])
    assert answer.startswith(b'HTTP/1.1 503 ')
    for header in (b'zinnialead-verdict: not-run', b'retry-after: 1'):
        assert header + b'\r\n' in answer.lower()
    assert b'connection: close\r\n' in answer.lower()
    assert b'urn:zinnialead:stopping' in answer
    nursery.cancel_scope.cancel()
