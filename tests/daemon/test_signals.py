"""Send signals to an entry that runs in this process."""

import os
import signal

import eliot.testing
import httpcore
import pytest
import trio
import trio.testing

from core import samples
from daemon import entries
from zinnialead_daemon import application as applications
from zinnialead_daemon import const
from zinnialead_daemon import http
from zinnialead_daemon import main


async def run(application, exit_codes):
    exit_codes.append(await main.run_until_stopped(application))


def new_entry(**settings):
    world = samples.world()
    node = world.node._replace(**settings)
    application = applications.new_application(
        entries.SETTINGS._replace(**settings), world._replace(node=node)
    )
    application.linger_s = 0.0
    return application


@pytest.fixture
def application():
    return new_entry()


async def start(nursery, application, exit_codes):
    nursery.start_soon(run, application, exit_codes)
    await trio.testing.wait_all_tasks_blocked()


async def test_the_first_sigterm_stops_gracefully(application):
    exit_codes = []
    async with trio.open_nursery() as nursery:
        await start(nursery, application, exit_codes)
        os.kill(os.getpid(), signal.SIGTERM)
    assert exit_codes == [0]


async def test_a_sigterm_during_the_start_stops_gracefully(
    application, monkeypatch
):
    async def ask_to_stop(application, nursery):
        os.kill(os.getpid(), signal.SIGTERM)
        await trio.testing.wait_all_tasks_blocked()

    set_ups = (ask_to_stop, *applications.SET_UPS)
    monkeypatch.setattr(applications, 'SET_UPS', set_ups)
    exit_codes = []
    await run(application, exit_codes)
    assert exit_codes == [0]


async def test_the_second_sigterm_answers_what_is_held_and_ends_at_once(
    application, nursery
):
    reached = trio.Event()

    async def respond(scope, receive, send):
        if scope['path'] == '/work':
            reached.set()
            await trio.sleep_forever()
        await http.respond(send, 200, [], b'{}')

    address = await nursery.start(
        http.serve, respond, '127.0.0.1:0', trio.sleep_forever
    )
    entries.point_at(application, address, slots=1)
    exit_codes, answers = [], []
    async with trio.open_nursery() as callers:
        await start(callers, application, exit_codes)
        callers.start_soon(ask, application, answers)
        await reached.wait()
        callers.start_soon(ask, application, answers)
        while len(application.engine.world.requests.rows) < 2:
            await trio.testing.wait_all_tasks_blocked(0.01)
        os.kill(os.getpid(), signal.SIGTERM)
        await trio.testing.wait_all_tasks_blocked()
        assert application.engine.world.requests.stopping
        assert not answers
        os.kill(os.getpid(), signal.SIGTERM)
        callers.cancel_scope.deadline = trio.current_time() + 1.0
    assert exit_codes == [const.EXIT_FORCED]
    held = sorted((x.status, verdict_of(x)) for x in answers)
    assert held == [(503, b'not-run'), (504, b'may-have-run')]
    nursery.cancel_scope.cancel()


async def ask(application, answers):
    url = f'http://{application.addresses.callers}/v1/services/pricebook/work'
    async with httpcore.AsyncConnectionPool() as pool:
        answers.append(await pool.request('POST', url))


def verdict_of(answer):
    return dict(answer.headers)[b'zinnialead-verdict']


async def test_a_hang_up_does_not_cut_requests_in_flight(application, nursery):
    reached, finish = trio.Event(), trio.Event()

    async def respond(scope, receive, send):
        if scope['path'] == '/work':
            reached.set()
            await finish.wait()
        await http.respond(send, 200, [], b'{}')

    address = await nursery.start(
        http.serve, respond, '127.0.0.1:0', trio.sleep_forever
    )
    entries.point_at(application, address)
    exit_codes = []

    async def hang_up_then_stop():
        await reached.wait()
        assert signal.getsignal(signal.SIGHUP) is not signal.SIG_DFL
        os.kill(os.getpid(), signal.SIGHUP)
        await trio.testing.wait_all_tasks_blocked()
        assert not application.engine.world.requests.stopping
        finish.set()

    async with trio.open_nursery() as tasks:
        await start(tasks, application, exit_codes)
        tasks.start_soon(hang_up_then_stop)
        url = f'http://{application.addresses.callers}/v1/services'
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request('POST', f'{url}/pricebook/work')
        os.kill(os.getpid(), signal.SIGTERM)
    assert answer.status == 200
    assert exit_codes == [0]
    nursery.cancel_scope.cancel()


async def test_sigusr1_logs_the_dump_without_the_token(application):
    lines = []
    eliot.add_destinations(lines.append)
    exit_codes = []
    async with trio.open_nursery() as nursery:
        await start(nursery, application, exit_codes)
        os.kill(os.getpid(), signal.SIGUSR1)
        await trio.testing.wait_all_tasks_blocked()
        os.kill(os.getpid(), signal.SIGTERM)
    eliot.remove_destination(lines.append)
    [line] = [
        log_line
        for log_line in lines
        if log_line['message_type'] == 'zinnialead:dump'
    ]
    assert line['dump']['core']['entry'] == 'entry-1'
    assert entries.TOKEN not in str(line)


async def test_a_request_held_at_the_end_of_the_grace_period_is_answered(
    nursery,
):
    reached = trio.Event()

    async def respond(scope, receive, send):
        if scope['path'] == '/work':
            reached.set()
            await trio.sleep_forever()
        await http.respond(send, 200, [], b'{}')

    address = await nursery.start(
        http.serve, respond, '127.0.0.1:0', trio.sleep_forever
    )
    application = new_entry(stop_grace_ms=2_300.0)
    entries.point_at(application, address)
    exit_codes, answers = [], []
    with trio.fail_after(5.0):
        async with trio.open_nursery() as tasks:
            await start(tasks, application, exit_codes)
            tasks.start_soon(ask, application, answers)
            await reached.wait()
            os.kill(os.getpid(), signal.SIGTERM)
    [answer] = answers
    assert (answer.status, verdict_of(answer)) == (504, b'may-have-run')
    assert (b'connection', b'close') in answer.headers
    assert b'urn:zinnialead:stop-ended' in answer.content
    assert exit_codes == [const.EXIT_FORCED]
    nursery.cancel_scope.cancel()


async def test_an_answer_that_its_caller_does_not_read_is_cut_and_logged(
    nursery,
):
    async def respond(scope, receive, send):
        body = b'x' * 30_000_000 if scope['path'] == '/work' else b'{}'
        length = str(len(body)).encode()
        await http.respond(send, 200, [(b'content-length', length)], body)

    address = await nursery.start(
        http.serve, respond, '127.0.0.1:0', trio.sleep_forever
    )
    application = new_entry(stop_grace_ms=2_300.0)
    entries.point_at(application, address)
    exit_codes, lines = [], []
    eliot.add_destinations(lines.append)
    with trio.fail_after(5.0):
        async with trio.open_nursery() as tasks:
            await start(tasks, application, exit_codes)
            host, _, port = application.addresses.callers.rpartition(':')
            caller = await trio.open_tcp_stream(host, int(port))
            await caller.send_all(
                b'POST /v1/services/pricebook/work HTTP/1.1\r\nhost: a\r\n'
                b'content-length: 0\r\n\r\n'
            )
            assert await caller.receive_some(1)
            os.kill(os.getpid(), signal.SIGTERM)
    eliot.remove_destination(lines.append)
    assert exit_codes == [const.EXIT_FORCED]
    cut = [x for x in lines if x.get('component') in ('front', 'requests')]
    assert {line['subject'] for line in cut} == {'entry-1.1.1'}
    nursery.cancel_scope.cancel()
