"""Run the soak with the faults of one seed."""

import collections
import pathlib
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

WATCH_PERIOD_MS = 50.0
LOOK_UP_PERIOD_MS = 500.0
# Errors that a fault can cause in a look-up.
LOOK_UP_ERRORS = (OSError, trio.BrokenResourceError, client.ProtocolError)


async def run_seed(seed, seconds, folder=None):
    """Run the soak; return its tables, including violations."""
    with tempfile.TemporaryDirectory() as temporary_folder:
        return await _run_seed(
            seed, seconds, pathlib.Path(folder or temporary_folder)
        )


async def _run_seed(seed, seconds, folder):
    async with trio.open_nursery() as nursery:
        soak = await fleet.start_fleet(nursery, folder, seed)
        try:
            await _wait_until_all_serve(soak)
            soak.start_s = trio.current_time()
            # All entries serve: the first version counts as long applied.
            initial = soak.tables.versions[0]._replace(acked_ms=-60_000.0)
            soak.tables.versions[0] = initial
            soak.tables.processes[:] = [
                process._replace(started_ms=-60_000.0)
                for process in soak.tables.processes
            ]
            nursery.start_soon(_watch_processes, soak)
            nursery.start_soon(_poll_look_ups, soak)
            for number in range(const.CALLER_COUNT):
                nursery.start_soon(callers.send_requests, soak, number)
            for at_ms, fault in plan.schedule(seed, seconds):
                wait_ms = at_ms - soak.now_ms()
                await trio.sleep(max(0.0, wait_ms) / const.MS_PER_S)
                nursery.start_soon(fleet.inject, nursery, soak, fault)
            remaining_s = seconds - soak.now_ms() / const.MS_PER_S
            await trio.sleep(max(0.0, remaining_s))
            soak.is_over = True
            # Time for open requests to complete.
            await trio.sleep(callers.CALL_TIMEOUT_MS / const.MS_PER_S / 2)
        finally:
            fleet.kill_all(soak)
        nursery.cancel_scope.cancel()
    fleet.check_logs(soak)
    soak.tables.violations.extend(checks.violations(soak.tables))
    return soak.tables


async def _wait_until_all_serve(soak):
    with trio.fail_after(30.0):
        for member in soak.members.values():
            status = 0
            while status != 200:
                await trio.sleep(0.05)
                try:
                    response = await deployments.ask(
                        member.front_address, target=b'/look/0', name=b'first'
                    )
                except OSError:
                    continue
                status = response.status
    soak.tables.runs.clear()


async def _watch_processes(soak):
    """Watch for programs that exited and for stalls of the event loop."""
    while not soak.is_over:
        begin_ms = soak.now_ms()
        await trio.sleep(WATCH_PERIOD_MS / const.MS_PER_S)
        end_ms = soak.now_ms()
        if end_ms - begin_ms - WATCH_PERIOD_MS > const.LAG_MAX_MS:
            lag = models.SpanRow('lag', None, False, begin_ms, end_ms)
            soak.tables.spans.append(lag)
        fleet.restart_exited(soak)


async def _poll_look_ups(soak):
    """Ask each entry which entries callers should use."""
    entry_names = {x.front_address: x.name for x in soak.members.values()}
    target = b'/resolve?name=a&region=guj&zone=guj-a'
    while not soak.is_over:
        await trio.sleep(LOOK_UP_PERIOD_MS / const.MS_PER_S)
        for member in soak.members.values():
            with trio.move_on_after(LOOK_UP_PERIOD_MS / const.MS_PER_S):
                try:
                    response = await deployments.ask(
                        member.directory_address, target=target
                    )
                except LOOK_UP_ERRORS:
                    continue
                body = response.body.decode()
                named = {
                    x for address, x in entry_names.items() if address in body
                }
                row = models.LookUpRow(
                    member.name, soak.now_ms(), frozenset(named)
                )
                soak.tables.look_ups.append(row)


def summary(tables):
    """Yield the lines of the report on a run."""
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
        yield f'VIOLATION {row.check}: {row.detail}'
