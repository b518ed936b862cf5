"""Test the memory and the latency of the program among endless answers."""

import functools
import pathlib
import signal
import time

import pytest
import trio

from adapter import deployments
from adapter import fakes
from adapter import raw_upstreams as raw
from adapter import test_process as processes
import endless
from zinnialead_gateway import application
from zinnialead_platform import adapter
from zinnialead_platform import boot
from zinnialead_standins import store as stores

MEMORY_MB = 152
FLOODS = 60
# The target latency of the routes.
TARGET_S = 0.5


FLOODING = {
    'short chunks': endless.SHORT_CHUNKS,
    **{
        kind: endless.ENDLESS[kind]
        for kind in (
            'chunks',
            'tiny chunks',
            'chunk extensions',
            'headers',
            'trailers',
            'interim responses',
        )
    },
}


async def flood(kind, exchange):
    await endless.write(exchange.stream, FLOODING[kind])


LENGTH = b'Content-Length: 1000000000000'
CHUNKED = b'Transfer-Encoding: chunked'
SEAL = b'Zinnialead-Response-Seal: seal'
NOT_RUN = b'Zinnialead-Not-Executed: 1'
BYTES = b'a' * 65_536
CHUNKS = b'1000\r\n' + b'a' * 4_096 + b'\r\n'
TINY_CHUNKS = b'2\r\nab\r\n' * 512


async def flood_with_id(status, headers, unit, exchange):
    """Write a response whose head is sound, and its body without end."""
    name = b'Zinnialead-Request-Id: ' + exchange.request.name.encode()
    response = endless.Endless(raw.response(status, [name, *headers]), unit)
    await endless.write(exchange.stream, response)


def peak_mb(process):
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    (line,) = [x for x in status.splitlines() if x.startswith('VmHWM')]
    return int(line.split()[1]) / 1_000.0


def configuration():
    """Return a configuration of a sound and a flooding service."""
    config = deployments.configuration()
    sound = deployments.route(path_prefix='/sound/', service='sound')
    config['routes']['r-2'] = sound
    config['services']['sound'] = config['services']['desk']
    return config


async def start(nursery, tmp_path, respond):
    """Start the program beside a flooding and a sound upstream."""
    store = stores.new_store()
    stores.put(store, 'config', 'main', configuration())
    responders = {'desk': respond, 'sound': raw.run}
    for service, responder in responders.items():
        upstream = raw.RawUpstream(f'i-{service}', responder)
        entry = deployments.registration(
            await raw.serve(nursery, upstream), service=service, slots=64
        )
        stores.put(store, 'servers', upstream.instance, entry)
    text = deployments.settings_text(await fakes.serve_store(nursery, store))
    text = text.replace('memory_mb = 222', f'memory_mb = {MEMORY_MB}')
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    process = processes.start(path)
    settings = boot.parse(text, 1)
    with trio.fail_after(20.0):
        await trio.to_thread.run_sync(processes._until_listening, settings)
        await deployments.until_ready(settings)
    return process, settings


async def ask_sound(settings, number):
    """Return the seconds that a request to the sound service takes."""
    started_s = time.monotonic()
    answer = await deployments.ask(
        settings.front_bind, target=b'/sound/1', name=b's-%d' % number
    )
    assert answer.status == 200
    return time.monotonic() - started_s


WITH_ID = {
    'long answer': (200, [SEAL, LENGTH], BYTES),
    'answer in chunks': (200, [SEAL, CHUNKED], CHUNKS),
    'answer in tiny chunks': (200, [SEAL, CHUNKED], TINY_CHUNKS),
    'answer without length': (200, [SEAL], BYTES),
    'long failure': (500, [SEAL, LENGTH], BYTES),
    'long refusal': (503, [NOT_RUN, LENGTH], BYTES),
    'refusal in chunks': (429, [NOT_RUN, CHUNKED], CHUNKS),
    'long misdirection': (421, [LENGTH], BYTES),
}
RESPONDERS = {
    **{
        kind: functools.partial(flood_with_id, *response)
        for kind, response in WITH_ID.items()
    },
    **{kind: functools.partial(flood, kind) for kind in FLOODING},
}


@pytest.mark.parametrize('kind', RESPONDERS)
async def test_many_endless_answers_leave_memory_and_time_for_others(
    nursery, tmp_path, kind
):
    respond = RESPONDERS[kind]
    process, settings = await start(nursery, tmp_path, respond)
    statuses = []

    async def ask(number):
        name = b'r-%d' % number
        answer = await deployments.ask(settings.front_bind, name=name)
        statuses.append(answer.status)

    async with trio.open_nursery() as callers:
        for number in range(FLOODS):
            callers.start_soon(ask, number)
        latencies_s = [await ask_sound(settings, n) for n in range(30)]
    used_mb = peak_mb(process)
    process.send_signal(signal.SIGTERM)
    await processes.wait_for_exit(process)
    assert used_mb < MEMORY_MB
    assert set(statuses) <= {502, 503, 504}
    assert max(latencies_s) < TARGET_S


async def large_answer(exchange):
    body = b'a' * 200_000
    await exchange.stream.send_all(raw.answer(exchange.request.name, body))


async def test_answers_that_are_passed_on_or_abandoned_take_no_memory(nursery):
    store = stores.new_store()
    stores.put(store, 'config', 'main', deployments.configuration())
    upstream = raw.RawUpstream('i-0', large_answer)
    address = await raw.serve(nursery, upstream)
    entry = deployments.registration(address)
    stores.put(store, 'servers', 'i-0', entry)
    text = deployments.settings_text(await fakes.serve_store(nursery, store))
    read = functools.partial(boot.parse, text, 7)
    settings = read()
    running = await application.set_up(
        nursery, settings, read, adapter.DIALECT
    )
    await deployments.until_ready(settings)
    for number in range(20):
        name = b'r-%d' % number
        # Some callers leave before they are answered, or while they are.
        with trio.move_on_after(number / 2_000):
            await deployments.ask(settings.front_bind, name=name)
    await deployments.until_served(settings, b'/desk/1')
    answer = await deployments.ask(settings.front_bind)
    assert len(answer.body) == 200_000
    await trio.sleep(0.3)
    assert running.front.upstreams.pool.memory.used_bytes == 0
