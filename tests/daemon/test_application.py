"""Take a request through a whole entry on loopback."""

import functools
import time

import httpcore
import trio

from core import samples
from zinnialead_core.components import keys
from zinnialead_core import inputs as inp
from zinnialead_daemon import application as applications
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon import http


async def upstream(scope, receive, send):
    await http.respond(send, 201, [], b'booked')


async def test_a_booking_goes_through_sockets_once(nursery):
    address = await nursery.start(
        http.serve, upstream, '127.0.0.1:0', trio.sleep_forever
    )
    state = samples.state(number=2)
    rows = {
        name: row._replace(address=address)
        for name, row in state.upstreams.items()
    }
    app = applications.new_application(samples.world())
    engines.feed(app.engine, inp.StateRead(state._replace(upstreams=rows)))
    run = functools.partial(applications.run, app, '127.0.0.1:0')
    entry = await nursery.start(run)
    async with httpcore.AsyncConnectionPool() as pool:
        url = f'http://{entry}/v1/services/intake/book'
        issued = keys.prefix(samples.REF, None, time.time() * 1000.0)
        key = [(b'idempotency-key', f'{issued}.nonce'.encode())]
        for _ in range(2):
            answer = await pool.request('POST', url, headers=key)
            assert (answer.status, answer.content) == (201, b'booked')
            assert (b'zinnialead-verdict', b'ran') in answer.headers
    assert app.engine.world.counters['requests.dispatched'] == 1
    nursery.cancel_scope.cancel()
