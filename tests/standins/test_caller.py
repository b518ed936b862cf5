"""Send work with the caller stand-in to entries that fail."""

import functools
import random

import httpcore
import msgspec
import trio

from zinnialead_daemon import http
from zinnialead_standins import caller as callers

UNUSED_ADDRESS = '127.0.0.1:1'


class Entry:
    """Answer look-ups with ``choices``, and work with ``verdicts``."""

    def __init__(self):
        self.choices = []
        self.verdicts = []
        self.keys = []

    async def serve(self, scope, receive, send):
        if scope['path'] == '/v1/look-up':
            document = {
                'choices': [
                    {
                        'entry': 'e',
                        'domain': 'd',
                        'address': address,
                        'key_prefix': 'z1.e',
                    }
                    for address in self.choices
                ],
                'lifetime_ms': 60_000.0,
            }
            await http.respond(send, 200, [], msgspec.json.encode(document))
            return
        headers = dict(scope['headers'])
        self.keys.append(headers.get(b'idempotency-key'))
        status, verdict, body = self.verdicts.pop(0)
        if status is None:
            await http.start_response(send, 200, [(b'content-length', b'9')])
            return
        await http.respond(
            send, status, [(b'zinnialead-verdict', verdict)], body
        )


async def start_entry(nursery):
    entry = Entry()
    run = functools.partial(
        http.serve, entry.serve, '127.0.0.1:0', trio.sleep_forever
    )
    address = await nursery.start(run)
    entry.choices = [address]
    pool = httpcore.AsyncConnectionPool()
    caller = callers.new_caller('d', [address], pool)
    caller.random = random.Random(1)
    return entry, caller


REFUSED = (503, b'not-run', b'{"title": "queue-full"}')
RAN = (200, b'ran', b'w-1 done')
TRUNCATED = (None, None, None)


async def send_work(caller, **fields):
    work = callers.Work('w-1', 'intake', 'urgent', True, **fields)
    return await callers.send(caller, work)


async def test_a_refused_request_is_repeated_with_a_new_key(nursery):
    entry, caller = await start_entry(nursery)
    entry.verdicts = [REFUSED, RAN]
    assert isinstance(await send_work(caller), callers.Ran)
    assert len(set(entry.keys)) == 2
    assert all(key.startswith(b'z1.e.') for key in entry.keys)
    nursery.cancel_scope.cancel()


async def test_work_with_a_truncated_answer_keeps_its_key(nursery):
    entry, caller = await start_entry(nursery)
    entry.verdicts = [TRUNCATED, REFUSED, RAN]
    assert isinstance(await send_work(caller), callers.Ran)
    assert len(set(entry.keys)) == 1
    nursery.cancel_scope.cancel()


async def test_work_with_an_undecided_key_is_not_sent_again(nursery):
    entry, caller = await start_entry(nursery)
    entry.verdicts = [(409, b'may-have-run', b'{"title": "key-undecided"}')]
    assert isinstance(await send_work(caller), callers.MayHaveRun)
    assert len(entry.keys) == 1
    nursery.cancel_scope.cancel()


async def test_work_that_may_have_run_keeps_its_key(nursery):
    entry, caller = await start_entry(nursery)
    lost = (502, b'may-have-run', b'{"title": "upstream-lost"}')
    entry.verdicts = [lost, REFUSED, RAN]
    assert isinstance(await send_work(caller), callers.Ran)
    assert len(set(entry.keys)) == 1
    nursery.cancel_scope.cancel()


async def test_an_unavailable_entry_is_skipped_at_once(nursery):
    entry, caller = await start_entry(nursery)
    entry.choices.insert(0, UNUSED_ADDRESS)
    entry.verdicts = [RAN]
    assert isinstance(await send_work(caller), callers.Ran)
    assert caller.unavailable == {UNUSED_ADDRESS}
    nursery.cancel_scope.cancel()


async def test_an_answer_to_other_work_is_detected(nursery):
    entry, caller = await start_entry(nursery)
    entry.verdicts = [(200, b'ran', b'w-2 done')]
    assert isinstance(await send_work(caller), callers.Crossed)
    nursery.cancel_scope.cancel()
