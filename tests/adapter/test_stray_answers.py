"""Test a complete entry against upstreams that repeat earlier answers."""

import functools
import re

import pytest
import trio

from adapter import deployments
from adapter import raw_upstreams as raw
from zinnialead_standins import store as stores


def repeat_of(exchange, **fields):
    """Return the refusal of the connection's first request once more."""
    return raw.refusal(exchange.earlier[0].name, **fields)


async def refuse_then_repeat(write_repeat, exchange):
    """Refuse a connection's first request; run the others after a repeat."""
    if not exchange.earlier:
        await exchange.stream.send_all(raw.refusal(exchange.request.name))
        return
    await write_repeat(exchange)
    await raw.run(exchange)


def whole(**fields):
    async def write(exchange):
        await exchange.stream.send_all(repeat_of(exchange, **fields))

    return write


async def without_id(exchange):
    await exchange.stream.send_all(raw.refusal(None))


async def misdirected_without_id(exchange):
    await exchange.stream.send_all(raw.refusal(None, status=421))


async def after_interim_response(exchange):
    interim = raw.response(100, [])
    await exchange.stream.send_all(interim + repeat_of(exchange))


async def cut_in_the_middle(exchange):
    repeat = repeat_of(exchange, body=b'busy')
    await exchange.stream.send_all(repeat[:40])
    await trio.sleep(0.05)
    await exchange.stream.send_all(repeat[40:])


async def closing(exchange):
    name = exchange.earlier[0].name
    repeat = raw.refusal(name, b'Connection: close')
    await exchange.stream.send_all(repeat)


async def sealed(exchange):
    await exchange.stream.send_all(raw.answer(exchange.earlier[0].name))


async def twice(exchange):
    await exchange.stream.send_all(repeat_of(exchange) * 2)


REPEATS = {
    'with its id': whole(),
    'with a body': whole(body=b'busy'),
    'misdirected': whole(status=421),
    'without an id': without_id,
    'misdirected without an id': misdirected_without_id,
    'after an interim response': after_interim_response,
    'cut in the middle': cut_in_the_middle,
    'closing': closing,
    'a sealed answer': sealed,
    'twice': twice,
}


@pytest.mark.parametrize('repeat', REPEATS)
async def test_a_repeated_refusal_is_no_answer_to_the_next_request(
    nursery, repeat
):
    respond = functools.partial(refuse_then_repeat, REPEATS[repeat])
    _, (upstream,), settings, _ = await raw.deploy(
        nursery, respond, kind='non_idempotent'
    )
    ask = functools.partial(
        deployments.ask, settings.front_bind, method=b'POST'
    )
    assert (await ask(name=b'r-1')).status == 503
    answer = await ask(name=b'r-2')
    assert (upstream.ran, upstream.connections) == (['r-2'], 1)
    assert (answer.status, answer.body) == (200, b'done')


async def without_length(exchange):
    repeat = repeat_of(exchange, length=False)
    await exchange.stream.send_all(repeat)


async def of_http_1_0(exchange):
    repeat = repeat_of(exchange, length=False)
    await exchange.stream.send_all(repeat.replace(b'HTTP/1.1', b'HTTP/1.0'))


@pytest.mark.parametrize('write_repeat', [without_length, of_http_1_0])
async def test_a_repeat_that_swallows_the_answer_is_given_up_at_once(
    nursery, write_repeat
):
    respond = functools.partial(refuse_then_repeat, write_repeat)
    _, (upstream,), settings, _ = await raw.deploy(
        nursery, respond, kind='non_idempotent'
    )
    ask = functools.partial(
        deployments.ask, settings.front_bind, method=b'POST'
    )
    assert (await ask()).status == 503
    with trio.fail_after(0.5):
        assert (await ask(name=b'r-2')).status == 502
    assert upstream.ran == ['r-2']


async def run_unless_misdirected(exchange):
    """Refuse requests for another upstream; repeat that before a run."""
    request = exchange.request
    misdirected = raw.refusal(request.name, status=421)
    if request.expected_instance != exchange.upstream.instance:
        await exchange.stream.send_all(misdirected)
        return
    if request.name in [earlier.name for earlier in exchange.earlier]:
        await exchange.stream.send_all(misdirected)
    await raw.run(exchange)


async def test_a_repeated_refusal_of_an_earlier_attempt_is_no_answer(nursery):
    store, (upstream,), settings, _ = await raw.deploy(
        nursery, run_unless_misdirected, kind='non_idempotent'
    )
    spec = store.objects['servers']['i-0']['spec']
    stores.put(store, 'servers', 'i-gone', spec)
    await trio.sleep(0.6)
    names = [f'r-{number}' for number in range(8)]
    for name in names:
        answer = await deployments.ask(
            settings.front_bind, method=b'POST', name=name.encode()
        )
        assert (name, answer.status) == (name, 200)
    assert upstream.ran == names


async def test_a_repeated_refusal_of_an_id_used_again_is_no_answer(nursery):
    respond = functools.partial(refuse_then_repeat, REPEATS['with its id'])
    _, (upstream,), settings, _ = await raw.deploy(
        nursery, respond, kind='non_idempotent'
    )
    for _ in range(2):
        answer = await deployments.ask(settings.front_bind, method=b'POST')
        assert (answer.status, upstream.ran) == (503, [])
    assert upstream.connections == 2


async def run_if_named(exchange):
    if exchange.request.name:
        await raw.run(exchange)
    else:
        await exchange.stream.send_all(raw.refusal(None, status=400))


async def test_a_refused_request_without_an_id_is_answered_at_once(nursery):
    _, (upstream,), settings, _ = await raw.deploy(
        nursery, run_if_named, kind='non_idempotent'
    )
    ask = functools.partial(
        deployments.ask, settings.front_bind, method=b'POST'
    )
    assert (await ask()).status == 200
    with trio.fail_after(0.5):
        assert (await ask(name=b'')).status == 503
    assert upstream.connections == 2


async def run_after_cut_repeat(text, exchange):
    if not exchange.earlier:
        await exchange.stream.send_all(raw.refusal(exchange.request.name))
        return
    repeat = repeat_of(exchange)
    cut = repeat.index(text) + len(text)
    exchange.upstream.ran.append(exchange.request.name)
    answer = raw.answer(exchange.request.name)
    await exchange.stream.send_all(repeat[:cut] + answer)


@pytest.mark.parametrize('text', [b'503 Rea', b'Executed: 1', b'Id: r-1'])
async def test_a_refusal_cut_off_before_the_answer_is_not_believed(
    nursery, text
):
    respond = functools.partial(run_after_cut_repeat, text)
    _, (upstream,), settings, _ = await raw.deploy(
        nursery, respond, kind='non_idempotent'
    )
    ask = functools.partial(
        deployments.ask, settings.front_bind, method=b'POST'
    )
    assert (await ask()).status == 503
    assert (await ask(name=b'r-2')).status == 502
    assert upstream.ran == ['r-2']


async def test_a_connection_that_carried_a_repeat_is_not_used_again(nursery):
    respond = functools.partial(refuse_then_repeat, REPEATS['with its id'])
    _, (upstream,), settings, _ = await raw.deploy(
        nursery, respond, kind='non_idempotent'
    )
    ask = functools.partial(
        deployments.ask, settings.front_bind, method=b'POST'
    )
    assert (await ask()).status == 503
    assert (await ask(name=b'r-2')).status == 200
    assert (await ask(name=b'r-3')).status == 503
    assert upstream.connections == 2


async def counts(settings):
    """Return the counted events by name."""
    page = await deployments.ask(settings.metrics_bind, target=b'/metrics')
    event = re.compile(rb'zinnialead_events_total{event="([^"]+)"} (\S+)')
    return {
        name.decode(): float(count) for name, count in event.findall(page.body)
    }


async def repeat_answer(exchange):
    if exchange.earlier:
        await sealed(exchange)
    await raw.run(exchange)


async def trail_bytes(exchange):
    name = exchange.request.name
    exchange.upstream.ran.append(name)
    repeat = raw.refusal('r-0')
    await exchange.stream.send_all(raw.answer(name) + repeat)


async def trail_bytes_later(exchange):
    await raw.run(exchange)
    await trio.sleep(0.02)
    await exchange.stream.send_all(b'more')


@pytest.mark.parametrize(
    ('respond', 'event'),
    [
        (repeat_answer, 'upstreams.stray_answers'),
        (trail_bytes, 'upstreams.stray_bytes'),
        (trail_bytes_later, 'upstreams.stray_bytes'),
    ],
)
async def test_an_upstream_that_repeats_answers_gets_few_requests(
    nursery, respond, event
):
    _, (faulty, sound), settings, _ = await raw.deploy(
        nursery, respond, raw.run
    )
    for number in range(100):
        name = f'r-{number}'.encode()
        await deployments.ask(settings.front_bind, name=name)
        await trio.sleep(0.03)
    counted = await counts(settings)
    assert counted[event] >= 1
    assert len(faulty.ran) < len(sound.ran) / 2, counted
