"""Test the program as a process, with the platform's signals."""

import os
import pathlib
import signal
import subprocess
import sys

import trio

from adapter import deployments
from adapter import fakes
from zinnialead_platform import boot
from zinnialead_standins import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = str(ROOT / 'platform' / 'entry.py')


ENVIRONMENT = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}


def start(settings_file):
    return subprocess.Popen(
        [sys.executable, PROGRAM],
        env={**ENVIRONMENT, 'ZINNIALEAD_BOOT': str(settings_file)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


async def start_ready(nursery, tmp_path, **fields):
    """Start the program against a fake platform; wait until it is ready."""
    store = stores.new_store()
    upstream = fakes.FakeUpstream('i-1')
    address = await fakes.serve_upstream(nursery, upstream)
    stores.put(store, 'config', 'main', deployments.configuration())
    stores.put(store, 'servers', 'i-1', deployments.registration(address))
    text = deployments.settings_text(
        await fakes.serve_store(nursery, store), **fields
    )
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    process = start(path)
    settings = boot.parse(text, 1)
    with trio.fail_after(20.0):
        await trio.to_thread.run_sync(_until_listening, settings)
        await deployments.until_ready(settings)
    return process, settings, upstream


def _until_listening(settings):
    import socket
    import time

    host, port = settings.ready_bind.split(':')
    for _ in range(900):
        with socket.socket() as sock:
            if sock.connect_ex((host, int(port))) == 0:
                return
        time.sleep(0.02)


async def wait_for_exit(process):
    with trio.fail_after(10.0):
        return await trio.to_thread.run_sync(process.communicate)


async def test_a_stopping_program_answers_open_requests(nursery, tmp_path):
    process, settings, upstream = await start_ready(nursery, tmp_path)
    upstream.work_s = 0.5
    answers = []

    async def ask():
        answers.append(await deployments.ask(settings.front_bind))

    nursery.start_soon(ask)
    await trio.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    await trio.sleep(0.1)
    ready = await deployments.ask(settings.ready_bind, target=b'/ready')
    assert ready.status == 503
    out, _ = await wait_for_exit(process)
    assert process.returncode == 0
    (answer,) = answers
    assert (answer.status, answer.body) == (200, b'done')
    assert (b'Connection', b'close') in answer.headers
    for event in (b'"started"', b'"stopping"', b'"stopped"'):
        assert event in out


async def test_a_short_grace_period_covers_the_last_requests(
    nursery, tmp_path
):
    """A request late in a grace period of 2 s was aborted (soak, seed 2)."""
    process, settings, upstream = await start_ready(
        nursery, tmp_path, grace_ms=2_000.0
    )
    upstream.work_s = 0.15
    answers = []

    async def ask():
        answers.append(
            await deployments.ask(settings.front_bind, deadline_ms=350)
        )

    process.send_signal(signal.SIGTERM)
    await trio.sleep(1.4)
    nursery.start_soon(ask)
    await wait_for_exit(process)
    (answer,) = answers
    assert (answer.status, answer.body) == (200, b'done')


async def test_a_request_late_in_the_grace_period_is_not_broken_off(
    nursery, tmp_path
):
    process, settings, upstream = await start_ready(
        nursery, tmp_path, grace_ms=2_000.0
    )
    upstream.work_s = 1.2
    process.send_signal(signal.SIGTERM)
    await trio.sleep(1.1)
    with trio.fail_after(0.3):
        answer = await deployments.ask(settings.front_bind)
    assert answer.status == 503
    assert (b'Connection', b'close') in answer.headers
    assert not upstream.ran
    await wait_for_exit(process)


async def test_a_request_in_hand_at_the_end_of_a_stop_is_answered_and_logged(
    nursery, tmp_path
):
    process, settings, upstream = await start_ready(nursery, tmp_path)
    upstream.work_s = 60.0
    answers = []

    async def ask():
        answers.append(
            await deployments.ask(settings.front_bind, name=b'r-unanswered')
        )

    nursery.start_soon(ask)
    await trio.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    out, _ = await wait_for_exit(process)
    assert b'r-unanswered' in out
    (answer,) = answers
    assert answer.status == 502


async def test_a_process_paused_over_the_end_of_its_stop_answers_requests(
    nursery, tmp_path
):
    for _ in range(4):
        process, settings, upstream = await start_ready(
            nursery, tmp_path, grace_ms=1_500.0
        )
        upstream.work_s = 60.0
        answers = []

        async def ask(settings=settings, answers=answers):
            answers.append(
                await deployments.ask(settings.front_bind, deadline_ms=9_000)
            )

        nursery.start_soon(ask)
        await trio.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        await trio.sleep(0.5)
        process.send_signal(signal.SIGSTOP)
        await trio.sleep(1.2)
        process.send_signal(signal.SIGCONT)
        await wait_for_exit(process)
        assert [x.status for x in answers] == [502]


async def test_a_state_dump_is_written_on_request(nursery, tmp_path):
    process, _, _ = await start_ready(nursery, tmp_path)
    process.send_signal(signal.SIGUSR1)
    await trio.sleep(0.5)
    process.send_signal(signal.SIGTERM)
    out, _ = await wait_for_exit(process)
    assert b'"dump"' in out
    assert b'"i-1"' in out


def test_settings_without_a_required_field_end_the_program(tmp_path):
    path = tmp_path / 'boot.toml'
    path.write_text('[self]\n')
    process = start(path)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 2
    assert b'network' in errors


def run_code(code):
    """Run code that loads the program; return the words it prints."""
    result = subprocess.run(
        [sys.executable, '-c', code.format(program=PROGRAM)],
        env=ENVIRONMENT,
        capture_output=True,
        check=True,
    )
    return result.stdout.split()


PRINT_IGNORED_SIGNALS = """
import runpy, signal, sys
runpy.run_path({program!r}, run_name='loaded')
assert 'trio' not in sys.modules
for number in (signal.SIGHUP, signal.SIGUSR1):
    print(signal.getsignal(number) is signal.SIG_IGN)
"""


def test_a_reload_signal_during_the_start_is_ignored():
    """SIGHUP ended a program that had just started (soak, seed 1)."""
    assert run_code(PRINT_IGNORED_SIGNALS) == [b'True', b'True']


PRINT_COMPONENT_MODULES = """
import runpy, sys
runpy.run_path({program!r}, run_name='loaded')
from zinnialead_gateway import application
from zinnialead_platform import adapter
print(*sorted(x for x in sys.modules if 'components' in x))
"""


def test_an_entry_does_not_load_the_ticket_driven_components():
    """Loading them took a third of the processor time of the start."""
    assert run_code(PRINT_COMPONENT_MODULES) == []
