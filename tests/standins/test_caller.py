"""Let the caller stand-in ask entries that fail in their ways."""

import functools
import random

import httpcore
import msgspec
import trio

from zinnialead_daemon import http
from zinnialead_standins import caller as callers

NOBODY = '127.0.0.1:1'


class Entry:
    """Answer look-ups with ``choices``, and work by ``verdicts``."""

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


async def started(nursery):
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
CUT = (None, None, None)


async def ask(caller, **parts):
    work = callers.Work('w-1', 'intake', 'urgent', True, **parts)
    return await callers.ask(caller, work)


async def test_a_refusal_is_tried_again_with_a_fresh_key(nursery):
    entry, caller = await started(nursery)
    entry.verdicts = [REFUSED, RAN]
    assert isinstance(await ask(caller), callers.Ran)
    assert len(set(entry.keys)) == 2
    assert all(key.startswith(b'z1.e.') for key in entry.keys)
    nursery.cancel_scope.cancel()


async def test_a_broken_answer_is_asked_for_with_the_same_key(nursery):
    entry, caller = await started(nursery)
    entry.verdicts = [CUT, REFUSED, RAN]
    assert isinstance(await ask(caller), callers.Ran)
    assert len(set(entry.keys)) == 1
    nursery.cancel_scope.cancel()


async def test_work_whose_end_is_unknown_is_not_sent_again(nursery):
    entry, caller = await started(nursery)
    entry.verdicts = [(409, b'may-have-run', b'{"title": "key-undecided"}')]
    assert isinstance(await ask(caller), callers.MayHaveRun)
    assert len(entry.keys) == 1
    nursery.cancel_scope.cancel()


async def test_work_that_may_have_run_keeps_its_key(nursery):
    entry, caller = await started(nursery)
    lost = (502, b'may-have-run', b'{"title": "upstream-lost"}')
    entry.verdicts = [lost, REFUSED, RAN]
    assert isinstance(await ask(caller), callers.Ran)
    assert len(set(entry.keys)) == 1
    nursery.cancel_scope.cancel()


async def test_a_dead_entry_is_left_at_once(nursery):
    entry, caller = await started(nursery)
    entry.choices.insert(0, NOBODY)
    entry.verdicts = [RAN]
    assert isinstance(await ask(caller), callers.Ran)
    assert caller.dead == {NOBODY}
    nursery.cancel_scope.cancel()


async def test_an_answer_to_other_work_is_seen(nursery):
    entry, caller = await started(nursery)
    entry.verdicts = [(200, b'ran', b'w-2 done')]
    assert isinstance(await ask(caller), callers.Crossed)
    nursery.cancel_scope.cancel()
