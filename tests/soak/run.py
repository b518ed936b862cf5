"""Play one run of a seed, and return what it showed."""

import collections
import pathlib
import random
import tempfile

import trio

from adapter import deployments
from soak import callers
from soak import checks
from soak import const
from soak import fleet
from soak import models
from soak import plan
from zinnialead_gateway.http import client

WATCH_MS = 50.0
LOOK_UP_MS = 500.0
# How a question ends that a fault concerns.
BROKEN = (OSError, trio.BrokenResourceError, client.ProtocolError)


async def play(seed, seconds, folder=None):
    """Return the tables of a run, with its violations."""
    with tempfile.TemporaryDirectory() as made:
        return await _play(seed, seconds, pathlib.Path(folder or made))


async def _play(seed, seconds, folder):
    async with trio.open_nursery() as nursery:
        soak = await fleet.set_up(nursery, folder, seed)
        try:
            await _until_all_serve(soak)
            soak.began_s = trio.current_time()
            first = soak.tables.versions[0]._replace(acked_ms=-60_000.0)
            soak.tables.versions[0] = first
            nursery.start_soon(_watch, soak)
            nursery.start_soon(_look_up, soak)
            for number in range(const.CALLERS):
                nursery.start_soon(callers.run, soak, number)
            # What callers draw must not change the faults of a seed.
            drawn = list(plan.faults(random.Random(seed), seconds))
            for at_ms, fault in drawn:
                left_ms = at_ms - soak.now_ms()
                await trio.sleep(max(0.0, left_ms) / const.MS_PER_S)
                nursery.start_soon(fleet.strike, nursery, soak, fault)
            left_s = seconds - soak.now_ms() / const.MS_PER_S
            await trio.sleep(max(0.0, left_s))
            soak.is_over = True
            # Requests that are open are answered by then.
            await trio.sleep(callers.CALL_MAX_MS / const.MS_PER_S / 2)
        finally:
            fleet.unload(soak)
        nursery.cancel_scope.cancel()
    fleet.read_logs(soak)
    soak.tables.violations.extend(checks.violations(soak.tables))
    return soak.tables


async def _until_all_serve(soak):
    with trio.fail_after(30.0):
        for member in soak.members.values():
            found = 0
            while found != 200:
                await trio.sleep(0.05)
                try:
                    answer = await deployments.ask(
                        member.front_address, target=b'/look/0', name=b'first'
                    )
                except OSError:
                    continue
                found = answer.status
    soak.tables.runs.clear()


async def _watch(soak):
    """Look for programs that ended, and for a loop that stands still."""
    while not soak.is_over:
        begin_ms = soak.now_ms()
        await trio.sleep(WATCH_MS / const.MS_PER_S)
        end_ms = soak.now_ms()
        if end_ms - begin_ms - WATCH_MS > const.LAG_MAX_MS:
            lag = models.SpanRow('lag', None, False, begin_ms, end_ms)
            soak.tables.spans.append(lag)
        fleet.watch_ends(soak)


async def _look_up(soak):
    """Ask each entry which entries callers should use."""
    fronts = {x.front_address: x.name for x in soak.members.values()}
    target = b'/resolve?name=a&region=guj&zone=guj-a'
    while not soak.is_over:
        await trio.sleep(LOOK_UP_MS / const.MS_PER_S)
        for member in soak.members.values():
            with trio.move_on_after(LOOK_UP_MS / const.MS_PER_S):
                try:
                    answer = await deployments.ask(
                        member.directory, target=target
                    )
                except BROKEN:
                    continue
                body = answer.body.decode()
                named = {x for at, x in fronts.items() if at in body}
                row = models.LookUpRow(
                    member.name, soak.now_ms(), frozenset(named)
                )
                soak.tables.look_ups.append(row)


def summary(tables):
    """Yield the lines that tell of a run."""
    statuses = collections.Counter(x.status for x in tables.requests)
    faults = collections.Counter(x.fault for x in tables.spans)
    yield f'requests by status: {dict(sorted(statuses.items()))}'
    yield f'faults: {dict(sorted(faults.items()))}'
    calm = [
        request
        for request in tables.requests
        if checks.is_calm(
            tables, request.entry, request.sent_ms, request.done_ms
        )
    ]
    yield f'calm requests: {len(calm)}, look-ups: {len(tables.look_ups)}'
    for row in tables.violations:
        yield f'VIOLATION {row.promise}: {row.detail}'
