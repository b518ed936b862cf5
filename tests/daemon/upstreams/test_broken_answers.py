"""Send requests through an entry to upstreams whose answers break off."""

import functools
import time

import httpcore
import pytest

import broken
from core import samples
from daemon import entries
from daemon import raw_upstreams as raw
from zinnialead_core.components import keys

PREFIX = keys.prefix(samples.REF, None, time.time() * 1_000.0)


def parts():
    """Return the number of bytes after which an answer is cut."""
    data = raw.answer(1)
    head_bytes = data.index(raw.BLANK_LINE)
    cuts = (4, 12, 20, head_bytes - 1, head_bytes, head_bytes + 2)
    return [*cuts, len(data) - 1]


async def ask(address, service, number):
    """Return the answer to new work, None if it ends early."""
    key = (b'idempotency-key', f'{PREFIX}.b{number}'.encode())
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            return await pool.request(
                'POST',
                f'http://{address}/v1/services/{service}/x',
                headers=[key],
            )
        except (httpcore.RemoteProtocolError, httpcore.ReadError):
            return None


@pytest.mark.parametrize('end', broken.ENDS)
@pytest.mark.parametrize('service', ['intake', 'pricebook'])
async def test_an_answer_that_breaks_off_is_no_success(nursery, service, end):
    cuts = parts()

    async def respond(cut, exchange):
        data = raw.answer(exchange.request_id)
        await broken.send_part(exchange.stream, data[: cut[0]], end)

    cut = [0]
    upstream = raw.RawUpstream(functools.partial(respond, cut))
    address = await raw.serve(nursery, upstream)
    _, addresses = await entries.start(nursery, address)
    for number, length in enumerate(cuts):
        cut[0] = length
        answer = await ask(addresses.callers, service, number)
        if answer is not None:
            verdict = dict(answer.headers).get(b'zinnialead-verdict')
            assert (answer.status, verdict) == (502, b'may-have-run'), length
    nursery.cancel_scope.cancel()
