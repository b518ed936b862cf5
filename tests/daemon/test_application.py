"""Take a request through a whole entry on loopback."""

import httpcore
import trio

from core import samples
from daemon import entries
from zinnialead_core import inputs as inp
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon import http


async def upstream(scope, receive, send):
    await http.respond(send, 201, [], b'booked')


async def test_a_booking_goes_through_sockets_once(nursery):
    address = await nursery.start(
        http.serve, upstream, '127.0.0.1:0', trio.sleep_forever
    )
    app, addresses = await entries.start(nursery, address)
    entry = addresses.callers
    async with httpcore.AsyncConnectionPool() as pool:
        url = f'http://{entry}/v1/services/intake/book'
        issued = samples.issued_key('k', app.engine.now_ms())
        key = [(b'idempotency-key', issued.encode())]
        for _ in range(2):
            answer = await pool.request('POST', url, headers=key)
            assert (answer.status, answer.content) == (201, b'booked')
            assert (b'zinnialead-verdict', b'ran') in answer.headers
    assert app.engine.world.counters['requests.dispatched'] == 1
    nursery.cancel_scope.cancel()


async def test_a_stop_cuts_no_request_in_flight(nursery):
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

    async def ask(callers):
        async with httpcore.AsyncConnectionPool() as pool:
            url = f'http://{callers}/v1/services/pricebook/work'
            answers.append(await pool.request('POST', url))

    async with trio.open_nursery() as entry_nursery:
        app, addresses = await entries.start(entry_nursery, address)
        entry_nursery.start_soon(ask, addresses.callers)
        await reached.wait()
        app.linger_s = 0.0
        engines.feed(app.engine, inp.StopRequested())
        finish.set()
    assert app.stopped.is_set()
    assert [answer.content for answer in answers] == [b'whole']
    nursery.cancel_scope.cancel()
