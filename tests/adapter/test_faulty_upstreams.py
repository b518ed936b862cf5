"""Test a complete entry against upstreams whose bytes are no answer."""

import functools

import pytest

from adapter import deployments
from adapter import raw_upstreams as raw


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
    _, _, settings = await raw.deploy(nursery, respond)
    for name in (b'r-1', b'r-2'):
        answer = await deployments.ask(settings.front_bind, name=name)
        assert answer.status == 200
