"""Test health checks of upstreams over loopback, odd answers included."""

import contextlib
import functools

import pytest
import trio

from adapter import deployments
from adapter import raw_upstreams as raw
import endless
from zinnialead_platform import adapter

INSTANCE = (b'Zinnialead-Instance-Id', b'i-0')


def read(status, *headers):
    return adapter.DIALECT.read_health(status, list(headers))


def test_a_health_answer_tells_who_is_cold_and_for_how_long():
    cold = (b'Zinnialead-Cold-Ms', b'2500')
    assert read(200, INSTANCE, cold) == ('i-0', 2_500.0)
    assert read(200, INSTANCE) == ('i-0', 0.0)
    assert read(503, INSTANCE, cold) == ('i-0', 2_500.0)
    assert read(503, INSTANCE) == ('i-0', None)
    assert read(200) == (None, 0.0)


@pytest.mark.parametrize('value', [b'', b'soon', b'nan', b'inf', b'\xff'])
def test_a_time_that_can_t_be_read_tells_nothing(value):
    assert read(200, INSTANCE, (b'Zinnialead-Cold-Ms', value)).cold_ms is None


ODD_RESPONSES = {
    'refusal': raw.response(503, [b'Zinnialead-Not-Executed: 1']),
    'not found': raw.response(404, [b'Content-Length: 0']),
    'no id': raw.response(200, [b'Content-Length: 0']),
    'another upstream': raw.response(
        200, [b'Zinnialead-Instance-Id: i-9', b'Content-Length: 0']
    ),
    'cut head': b'HTTP/1.1 200 OK\r\nZinnialead-Ins',
    'rubbish': b'rubbish\r\n\r\n',
    'two responses': 2 * raw.response(200, [b'Content-Length: 0']),
}


async def cut_first(is_first, exchange):
    if is_first.pop('is', False):
        await exchange.stream.aclose()
    else:
        await raw.run(exchange)


async def play_odd_checks(nursery, respond_health):
    """Let the connections of one of two upstreams end, which are checked.

    Returns how often it was, after requests have been served for a while.
    """
    respond = functools.partial(cut_first, {'is': True})
    _, upstreams, settings, _ = await raw.deploy(nursery, respond, respond)
    for upstream in upstreams:
        upstream.respond_health = respond_health
    for number in range(30):
        target = b'/desk/%d' % number
        answer = await deployments.ask(settings.front_bind, target=target)
        assert (answer.status, answer.body) == (200, b'done')
        await trio.sleep(0.05)
    await deployments.until_ready(settings)
    return sum(upstream.checked for upstream in upstreams)


@pytest.mark.parametrize('response', ODD_RESPONSES.values(), ids=ODD_RESPONSES)
async def test_an_odd_health_answer_is_asked_for_again(nursery, response):
    async def respond(stream):
        await stream.send_all(response)
        await stream.aclose()

    assert 2 <= await play_odd_checks(nursery, respond) <= 8


@pytest.mark.parametrize('name', ['header', 'long body', 'one chunk', 'zeros'])
async def test_an_endless_health_answer_is_abandoned(nursery, name):
    async def respond(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await endless.write(stream, endless.ENDLESS[name])

    assert 1 <= await play_odd_checks(nursery, respond) <= 8
