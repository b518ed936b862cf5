"""Send requests through an entry to an upstream over sockets."""

import functools
import time
import typing

import httpcore
import pytest
import trio

from core import samples
from daemon import entries
from zinnialead_core.components import keys
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon import http

LARGE = b'x' * 300_000
NOW_MS = time.time() * 1000.0
ISSUED = keys.prefix(samples.REF, None, NOW_MS) + '.nonce'
PAST_DEADLINE_MS = 60_000.0
KEY = (b'idempotency-key', ISSUED.encode())


class Events(typing.NamedTuple):
    reached: trio.Event
    finish: trio.Event


def new_events():
    return Events(trio.Event(), trio.Event())


async def upstream(calls, events, scope, receive, send):
    body = b''
    more = True
    while more:
        message = await receive()
        body += message.get('body', b'')
        more = message.get('more_body', False)
    if scope['path'] in ('/health', '/load'):
        await http.respond(send, 200, [], b'{}')
        return
    calls.append((scope['method'], scope['path'], len(body)))
    length = [(b'content-length', str(len(LARGE)).encode())]
    match scope['path']:
        case '/large':
            await http.respond(send, 200, length, LARGE)
        case '/cut':
            await http.start_response(send, 200, length)
            part = {'type': 'http.response.body', 'body': LARGE[:-1]}
            await send({**part, 'more_body': True})
        case '/silent':
            events.reached.set()
            await trio.sleep_forever()
        case '/slow':
            events.reached.set()
            await events.finish.wait()
            await http.respond(send, 201, [], b'booked')
        case '/zinnialead/cancel':
            await http.respond(send, 200, [], b'started')
        case '/shed':
            shed = [(b'zinnialead-shed', b'1')]
            await http.respond(send, 503, shed, b'')
        case _:
            text = [(b'content-type', b'text/plain')]
            await http.respond(send, 201, text, b'booked')


async def serve(nursery, events=None):
    calls = []
    app = functools.partial(upstream, calls, events or new_events())
    address = await nursery.start(
        http.serve, app, '127.0.0.1:0', trio.sleep_forever
    )
    entry, addresses = await entries.start(nursery, address, 400_000)
    return entry, addresses.callers, calls


async def ask(address, path, headers=(), content=b'', method='POST'):
    async with httpcore.AsyncConnectionPool() as pool:
        url = f'http://{address}/v1/services/{path}'
        return await pool.request(
            method, url, headers=list(headers), content=content
        )


def verdict_of(answer):
    return dict(answer.headers)[b'zinnialead-verdict']


async def test_bodies_larger_than_the_buffer_stream_both_ways(nursery):
    entry, address, calls = await serve(nursery)
    answer = await ask(address, 'intake/large', [KEY], LARGE)
    assert answer.content == LARGE
    assert calls == [('POST', '/large', len(LARGE))]
    assert entry.engine.world.counters['requests.streamed'] == 1
    nursery.cancel_scope.cancel()


async def test_an_incomplete_answer_never_looks_complete(nursery):
    entry, address, calls = await serve(nursery)
    with pytest.raises(httpcore.RemoteProtocolError):
        await ask(address, 'pricebook/cut')
    assert len(calls) == 1
    nursery.cancel_scope.cancel()


async def test_a_recorded_answer_is_replayed_with_its_type(nursery):
    entry, address, calls = await serve(nursery)
    first = await ask(address, 'intake/book', [KEY])
    again = await ask(address, 'intake/book', [KEY])
    for answer in (first, again):
        assert (answer.status, answer.content) == (201, b'booked')
        assert (b'content-type', b'text/plain') in answer.headers
        assert verdict_of(answer) == b'ran'
    assert len(calls) == 1
    nursery.cancel_scope.cancel()


async def test_a_repeat_after_an_unrecorded_large_answer_is_reported_as_run(
    nursery,
):
    entry, address, calls = await serve(nursery)
    await ask(address, 'intake/large', [KEY])
    again = await ask(address, 'intake/large', [KEY])
    assert (again.status, verdict_of(again)) == (409, b'ran')
    nursery.cancel_scope.cancel()


def advance_clock(engine, advance_ms):
    now_ms = engine.now_ms
    engine.now_ms = lambda: now_ms() + advance_ms


async def test_a_silent_upstream_may_have_run_the_work(nursery):
    events = new_events()
    entry, address, calls = await serve(nursery, events)
    answers = []

    async def ask_silent():
        answers.append(await ask(address, 'intake/silent', [KEY]))

    async with trio.open_nursery() as callers:
        callers.start_soon(ask_silent)
        await events.reached.wait()
        advance_clock(entry.engine, PAST_DEADLINE_MS)
        engines.feed(entry.engine)
    [answer] = answers
    assert (answer.status, verdict_of(answer)) == (504, b'may-have-run')
    nursery.cancel_scope.cancel()


async def test_work_whose_deadline_passes_before_it_is_sent_is_not_run(
    nursery,
):
    entry, address, calls = await serve(nursery)
    handlers = entry.engine.handlers
    dispatch = handlers['dispatch']

    def dispatch_late(output):
        advance_clock(entry.engine, PAST_DEADLINE_MS)
        dispatch(output)

    handlers['dispatch'] = dispatch_late
    answer = await ask(address, 'intake/silent', [KEY])
    assert (answer.status, verdict_of(answer)) == (502, b'not-run')
    assert calls == []
    nursery.cancel_scope.cancel()


async def test_the_result_of_abandoned_work_is_recorded_and_replayed(nursery):
    events = new_events()
    entry, address, calls = await serve(nursery, events)
    async with trio.open_nursery() as callers:
        callers.start_soon(ask, address, 'intake/slow', [KEY])
        await events.reached.wait()
        callers.cancel_scope.cancel()
    await entry.front.idle.wait()
    events.finish.set()
    answer = await ask(address, 'intake/slow', [KEY])
    assert (answer.status, answer.content) == (201, b'booked')
    assert [path for _, path, _ in calls].count('/slow') == 1
    nursery.cancel_scope.cancel()


async def test_shed_work_did_not_run(nursery):
    entry, address, calls = await serve(nursery)
    answer = await ask(address, 'intake/shed', [KEY])
    assert verdict_of(answer) == b'not-run'
    assert dict(answer.headers)[b'retry-after']
    nursery.cancel_scope.cancel()


async def test_a_caller_that_disconnects_cancels_its_attempt(nursery):
    events = new_events()
    entry, address, calls = await serve(nursery, events)
    async with trio.open_nursery() as callers:
        callers.start_soon(ask, address, 'pricebook/silent')
        await events.reached.wait()
        callers.cancel_scope.cancel()
    await entry.front.idle.wait()
    assert entry.engine.world.counters['front.caller_gone'] == 1
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('status', 'path', 'headers', 'content'),
    [
        (404, 'unknown/x', [], b''),
        (400, 'intake/x', [], b''),
        (400, 'intake/x', [(b'zinnialead-rank', b'?')], b''),
        (400, 'intake/x', [(b'zinnialead-deadline-ms', b'nan')], b''),
        (413, 'intake/x', [KEY], b'x' * 400_001),
        (504, 'pricebook/x', [(b'zinnialead-deadline-ms', b'0')], b''),
    ],
)
async def test_bad_input_is_not_run(nursery, status, path, headers, content):
    entry, address, calls = await serve(nursery)
    answer = await ask(address, path, headers, content)
    assert (answer.status, verdict_of(answer)) == (status, b'not-run')
    assert calls == []
    nursery.cancel_scope.cancel()


async def start_sending(address, path, headers=()):
    """Return a connection on which a request's body is being sent."""
    host, _, port = address.rpartition(':')
    stream = await trio.open_tcp_stream(host, int(port))
    lines = [b'POST /v1/services/%s HTTP/1.1' % path, b'host: a']
    lines += [b'%s: %s' % header for header in headers]
    lines += [b'content-length: 9', b'', b'body']
    await stream.send_all(b'\r\n'.join(lines))
    return stream


@pytest.mark.parametrize(
    ('path', 'verdict'),
    [(b'intake/x', b'may-have-run'), (b'pricebook/x', b'not-run')],
)
async def test_a_late_body_says_nothing_of_other_copies_under_its_key(
    nursery, path, verdict
):
    entry, address, calls = await serve(nursery)
    for deadline_ms in (b'0', b'50'):
        headers = [KEY, (b'zinnialead-deadline-ms', deadline_ms)]
        stream = await start_sending(address, path, headers)
        answer = await stream.receive_some()
        assert answer.startswith(b'HTTP/1.1 504 ')
        assert b'zinnialead-verdict: %s\r\n' % verdict in answer
        await stream.aclose()
    assert entry.engine.world.counters['front.body_late'] == 2
    assert calls == []
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('path', 'verdict'),
    [('intake/x', b'may-have-run'), ('pricebook/x', b'not-run')],
)
async def test_a_full_entry_says_nothing_of_other_copies_under_a_key(
    nursery, path, verdict
):
    entry, address, calls = await serve(nursery)
    entry.front.bounds = entry.front.bounds._replace(exchanges_max=0)
    answer = await ask(address, path, [KEY])
    assert (answer.status, verdict_of(answer)) == (503, verdict)
    assert calls == []
    nursery.cancel_scope.cancel()


async def test_many_look_ups_are_answered_in_one_call(nursery):
    entry, address, calls = await serve(nursery)
    async with httpcore.AsyncConnectionPool() as pool:
        url = f'http://{address}/v1/look-up'
        body = b'{"questions": [{"service": "intake"}, {"service": "x"}]}'
        answer = await pool.request('POST', url, content=body)
        assert answer.content.count(b'"choices"') == 2
        response = await pool.request('GET', f'{url}?service=intake')
        assert b'entry-1' in response.content
        bad = await pool.request('POST', url, content=b'{"questions": [')
        assert (bad.status, verdict_of(bad)) == (400, b'not-run')
    nursery.cancel_scope.cancel()
