"""Send work to the upstream stand-in."""

import functools

import httpcore
import trio

from zinnialead_daemon import http
from zinnialead_standins import upstream as upstreams


async def start_upstream(nursery, **fields):
    profile = upstreams.WorkProfile(1, 0.0, **fields)
    upstream = upstreams.new_upstream('u-1', profile, upstreams.new_ledger())
    app = upstreams.asgi_app(upstream)
    run = functools.partial(http.serve, app, '127.0.0.1:0', trio.sleep_forever)
    return upstream, await nursery.start(run)


async def call(address, path, *headers):
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            'POST', f'http://{address}{path}', headers=list(headers)
        )


async def test_every_run_is_recorded_by_its_work(nursery):
    upstream, address = await start_upstream(nursery)
    for _ in range(2):
        response = await call(address, '/book', (b'x-work-id', b'w-1'))
        assert response.content.startswith(b'w-1 u-1')
    assert len(upstream.ledger.runs['w-1']) == 2
    nursery.cancel_scope.cancel()


async def test_a_draining_upstream_sheds_and_reports_that_it_leaves(nursery):
    upstream, address = await start_upstream(nursery)
    upstream.behaviour = upstreams.Draining()
    response = await call(address, '/book', (b'x-work-id', b'w-1'))
    assert (b'zinnialead-shed', b'1') in response.headers
    assert b'"leaving":true' in (await call(address, '/load')).content
    assert not upstream.ledger.runs
    nursery.cancel_scope.cancel()


async def test_a_draining_upstream_announces_in_each_answer_that_it_leaves(
    nursery,
):
    upstream, address = await start_upstream(nursery)
    leaving = (b'zinnialead-leaving', b'1')
    paths = ('/book', '/health', '/load', '/zinnialead/cancel')
    for path in paths:
        assert leaving not in (await call(address, path)).headers
    upstream.behaviour = upstreams.Draining()
    for path in paths:
        assert leaving in (await call(address, path)).headers
    nursery.cancel_scope.cancel()


async def test_work_in_flight_is_answered_with_the_announcement(nursery):
    upstream, address = await start_upstream(nursery, start_delay_ms=50.0)

    async def drain():
        await trio.sleep(0.02)
        upstream.behaviour = upstreams.Draining()

    nursery.start_soon(drain)
    response = await call(address, '/book')
    assert response.status == 200
    assert (b'zinnialead-leaving', b'1') in response.headers
    nursery.cancel_scope.cancel()


async def test_a_pausing_upstream_asks_for_a_pause_with_each_refusal(nursery):
    upstream, address = await start_upstream(nursery)
    upstream.behaviour = upstreams.Pausing(1_500.0)
    pause = (b'zinnialead-pause', b'1.500')
    for path in ('/book', '/health'):
        response = await call(address, path)
        assert response.status == 503
        assert pause in response.headers
    assert pause not in (await call(address, '/load')).headers
    assert not upstream.ledger.runs
    nursery.cancel_scope.cancel()


async def test_a_cancelled_request_never_starts(nursery):
    upstream, address = await start_upstream(nursery)
    request = (b'zinnialead-request-id', b'e.1.1.1')
    response = await call(address, '/zinnialead/cancel', request)
    assert response.content == b'never-started'
    assert (await call(address, '/book', request)).status == 503
    other_request = (b'zinnialead-request-id', b'e.1.2.1')
    await call(address, '/book', other_request)
    response = await call(address, '/zinnialead/cancel', other_request)
    assert response.content == b'started'
    nursery.cancel_scope.cancel()


async def test_work_past_its_deadline_is_shed(nursery):
    upstream, address = await start_upstream(nursery, start_delay_ms=5.0)
    deadline = (b'zinnialead-deadline-ms', b'1')
    assert (await call(address, '/book', deadline)).status == 503
    assert upstream.started == 0
    nursery.cancel_scope.cancel()


async def test_answers_and_refusals_carry_the_id_of_their_request(nursery):
    upstream, address = await start_upstream(nursery)
    request = (b'zinnialead-request-id', b'e.1.1.1')
    for behaviour in (upstreams.Serving(), upstreams.Draining()):
        upstream.behaviour = behaviour
        response = await call(address, '/book', request)
        assert request in response.headers
    nursery.cancel_scope.cancel()
