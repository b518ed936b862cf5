"""Send requests through an entry to upstreams whose answers never end."""

import functools
import time

import httpcore
import pytest
import trio

from core import samples
from daemon import entries
from daemon import raw_upstreams as raw
import endless
from zinnialead_core.components import keys

NOW_MS = time.time() * 1_000.0
PREFIX = keys.prefix(samples.REF, None, NOW_MS)
DEADLINE_S = 1.0
# Answers that fill the buffer are passed on as they come.
PASSED_ON = {'long body', 'chunks', 'one chunk'}
# Answers without a length are lost, whether they end or not, and the chunks
# are passed on until the deadline.
UNKNOWN_END = {'body without length', 'old body', 'chunks'}
# The urgent rank's target latency.
TARGET_S = 0.2


async def ask(address, path, number, service='intake'):
    """Send work under a key of its own; return None if its answer is cut."""
    key = f'{PREFIX}.n{number}'
    headers = [
        (b'idempotency-key', key.encode()),
        (b'zinnialead-deadline-ms', b'%d' % (DEADLINE_S * 1_000)),
    ]
    url = f'http://{address}/v1/services/{service}/{path}'
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            async with pool.stream('POST', url, headers=headers) as answer:
                async for _ in answer.aiter_stream():
                    pass
                return answer
        except httpcore.RemoteProtocolError:
            return None


async def respond(kind, drip, exchange):
    if exchange.path == '/sound':
        await exchange.stream.send_all(raw.answer(exchange.request_id))
    else:
        await endless.write(exchange.stream, endless.ENDLESS[kind], drip)


async def start(nursery, kind, drip=False):
    upstream = raw.RawUpstream(functools.partial(respond, kind, drip))
    address = await raw.serve(nursery, upstream)
    entry, addresses = await entries.start(nursery, address)
    return entry, upstream, addresses.callers


@pytest.mark.parametrize('kind', endless.ENDLESS)
async def test_an_endless_answer_is_abandoned(nursery, kind):
    entry, upstream, address = await start(nursery, kind)
    started_s = trio.current_time()
    service = 'pricebook' if kind in PASSED_ON else 'intake'
    answer = await ask(address, 'x', 1, service)
    elapsed_s = trio.current_time() - started_s
    if kind in PASSED_ON:
        assert answer is None
        assert elapsed_s < DEADLINE_S + 0.3
    else:
        verdict = dict(answer.headers)[b'zinnialead-verdict']
        assert verdict == b'may-have-run'
        assert elapsed_s < DEADLINE_S / 2
    with trio.fail_after(0.5):
        await upstream.closed.wait()
    if kind not in UNKNOWN_END:
        # The only upstream of a service is not ejected.
        counters = entry.engine.world.counters
        assert counters['upstreams.faulty'] == 1
        assert counters['upstreams.left_in'] >= 1
    nursery.cancel_scope.cancel()


async def test_an_answer_that_is_cut_is_no_fault(nursery):
    async def respond(exchange):
        data = raw.answer(exchange.request_id)
        await exchange.stream.send_all(data[:-1])
        await exchange.stream.aclose()

    upstream = raw.RawUpstream(respond)
    entry, addresses = await entries.start(
        nursery, await raw.serve(nursery, upstream)
    )
    answer = await ask(addresses.callers, 'x', 1)
    assert dict(answer.headers)[b'zinnialead-verdict'] == b'may-have-run'
    assert not entry.engine.world.counters['upstreams.faulty']
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize('kind', ['long body', 'chunks', 'trailers'])
async def test_an_endless_report_of_health_is_abandoned(nursery, kind):
    floods = []

    async def report(exchange):
        flood = endless.ENDLESS[kind]
        units = await endless.write(exchange.stream, flood)
        floods.append(units * len(flood.unit))

    upstream = raw.RawUpstream(report, polls=True)
    await entries.start(nursery, await raw.serve(nursery, upstream))
    with trio.fail_after(0.5):
        await upstream.closed.wait()
    # The sockets' buffers take some megabytes.
    assert max(floods) < 20_000_000
    nursery.cancel_scope.cancel()


async def test_other_work_is_served_among_endless_answers(nursery):
    _, _, address = await start(nursery, 'interim responses')
    async with trio.open_nursery() as callers:
        for number in range(3):
            callers.start_soon(ask, address, 'x', number, 'pricebook')
        for number in range(20):
            started_s = trio.current_time()
            answer = await ask(address, 'sound', 100 + number)
            assert answer.status == 201
            assert trio.current_time() - started_s < TARGET_S


async def test_rubbish_is_not_passed_on_at_length(nursery):
    async def respond(exchange):
        await exchange.stream.send_all(b'rubbish ' * 3_000 + raw.BLANK_LINE)

    upstream = raw.RawUpstream(respond)
    _, addresses = await entries.start(
        nursery, await raw.serve(nursery, upstream)
    )
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            'POST',
            f'http://{addresses.callers}/v1/services/intake/x',
            headers=[(b'idempotency-key', f'{PREFIX}.r'.encode())],
        )
    assert answer.status == 502
    assert len(answer.content) < 1_000
    nursery.cancel_scope.cancel()
