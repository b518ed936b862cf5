"""Test whole entries whose upstreams leave or ask for a pause."""

import functools

import httpcore
import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from core import samples
from daemon import entries
from daemon import raw_upstreams as raw
from zinnialead_core import inputs as inp
from zinnialead_core import notices
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components.operators import fleet
from zinnialead_daemon.components.upstreams import announcements
from zinnialead_daemon.components.upstreams import const

LEAVING = 'Zinnialead-Leaving: 1'
POLLS = ('/health', '/load')
FIRST, SECOND = 'pricebook-1', 'pricebook-2'


@pytest.fixture(autouse=True)
def frequent_polls(monkeypatch):
    monkeypatch.setattr(const, 'POLL_PERIOD_MS', 100.0)


class Upstream:
    """Answer work with some headers, and note when something arrived."""

    def __init__(self):
        self.status = 200
        self.headers = []
        self.poll_status = 200
        self.poll_headers = []
        self.works_s = []
        self.polls_s = []

    async def respond(self, exchange):
        if exchange.path in POLLS:
            self.polls_s.append(trio.current_time())
            body = b'{}' if exchange.path == '/load' else b''
            response = raw.response(
                self.poll_status, *self.poll_headers, body=body
            )
            await exchange.stream.send_all(response)
            return
        self.works_s.append(trio.current_time())
        await trio.sleep(0.01)
        name = f'Zinnialead-Request-Id: {exchange.request_id}'
        response = raw.response(self.status, name, *self.headers, body=b'ok')
        await exchange.stream.send_all(response)

    def shed(self, *headers):
        self.status = 503
        self.headers = ['Zinnialead-Shed: 1', *headers]


async def start(nursery, count=2):
    """Start an entry; return its upstreams, how to ask it, and itself."""
    upstreams = [Upstream() for _ in range(count)]
    served = [raw.RawUpstream(x.respond, polls=True) for x in upstreams]
    at = [await raw.serve(nursery, x) for x in served]
    entry, addresses = await entries.start(nursery, at[0])
    state = samples.state(number=3)
    row = state.upstreams[FIRST]
    names = (f'pricebook-{number}' for number in range(1, count + 1))
    rows = {
        name: row._replace(upstream=name, address=address)
        for name, address in zip(names, at, strict=True)
    }
    state = state._replace(upstreams=rows)
    engines.feed(entry.engine, inp.StateRead(state))
    # The first round of polls is of the state before.
    await trio.sleep(0.2)
    for upstream in upstreams:
        upstream.polls_s.clear()
    return upstreams, functools.partial(ask, addresses.callers), entry


async def ask(address):
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            'GET', f'http://{address}/v1/services/pricebook/x'
        )


async def burst(send):
    """Send more requests at once than one upstream has slots."""
    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(send)


async def until(condition, send=None):
    """Wait until a condition holds, and send requests meanwhile."""
    with trio.fail_after(5.0):
        while not condition():
            if send is None:
                await trio.sleep(0.01)
            else:
                await burst(send)


@pytest.mark.parametrize('status', [200, 404, 503])
async def test_an_upstream_that_says_it_leaves_gets_no_more_work(
    nursery, status
):
    (leaving, stays), send, entry = await start(nursery)
    leaving.status = status
    leaving.headers = leaving.poll_headers = [LEAVING]
    if status == 503:
        leaving.shed(LEAVING)
    await until(
        lambda: leaving.works_s or FIRST in announced_by(entry),
        send,
    )
    leaving.works_s.clear()
    for _ in range(12):
        assert (await send()).status == 200
    await trio.sleep(0.3)
    assert (await send()).status == 200
    assert not leaving.works_s
    assert len(stays.works_s) >= 13
    nursery.cancel_scope.cancel()


def announced_by(entry):
    return {
        name
        for name, row in entry.engine.world.upstreams.items()
        if row.announced_ms is not None
    }


@pytest.mark.parametrize('poll_status', [200, 503])
async def test_an_answer_to_a_poll_says_that_an_upstream_leaves(
    nursery, poll_status
):
    (leaving, _), send, entry = await start(nursery)
    leaving.poll_headers = [LEAVING]
    leaving.poll_status = poll_status
    await until(lambda: FIRST in announced_by(entry))
    leaving.works_s.clear()
    for _ in range(6):
        assert (await send()).status == 200
    assert not leaving.works_s
    nursery.cancel_scope.cancel()


async def test_the_next_run_at_an_address_is_used_again(nursery):
    (leaving, _), send, entry = await start(nursery)
    leaving.headers = leaving.poll_headers = [LEAVING]
    await until(lambda: announced_by(entry) == {FIRST}, send)
    leaving.works_s.clear()
    leaving.headers = leaving.poll_headers = []
    await until(lambda: leaving.works_s, send)
    assert not announced_by(entry)
    nursery.cancel_scope.cancel()


async def test_an_answer_to_a_cancel_says_that_an_upstream_leaves(nursery):
    async def respond(exchange):
        if exchange.path == '/zinnialead/cancel':
            started = raw.response(200, LEAVING, body=b'started')
            await exchange.stream.send_all(started)
        elif exchange.path in POLLS:
            await exchange.stream.send_all(raw.response(200, body=b'{}'))
        else:
            await trio.sleep_forever()

    address = await raw.serve(nursery, raw.RawUpstream(respond))
    entry, addresses = await entries.start(nursery, address)
    deadline = [(b'zinnialead-deadline-ms', b'200')]
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request(
            'GET',
            f'http://{addresses.callers}/v1/services/pricebook/x',
            headers=deadline,
        )
    await until(
        lambda: entry.engine.world.counters['upstreams.announced_leaving']
    )
    nursery.cancel_scope.cancel()


async def test_a_pausing_upstream_gets_no_work_and_no_poll_until_the_end(
    nursery,
):
    (pausing, _), send, _ = await start(nursery)
    pausing.shed('Zinnialead-Pause: 1.2')
    await until(lambda: pausing.works_s, send)
    first_s = pausing.works_s[0]
    await trio.sleep(0.05)
    pausing.works_s[:] = [first_s]
    pausing.polls_s.clear()
    while trio.current_time() < first_s + 1.1:
        assert (await send()).status == 200
        await trio.sleep(0.02)
    assert len(pausing.works_s) == 1
    assert not pausing.polls_s
    pausing.status, pausing.headers = 200, []
    await until(lambda: len(pausing.works_s) > 1, send)
    assert pausing.works_s[1] >= first_s + 1.2
    await until(lambda: pausing.polls_s)
    nursery.cancel_scope.cancel()


async def test_the_answer_to_a_poll_asks_for_a_pause(nursery):
    (pausing, _), send, _ = await start(nursery)
    pausing.poll_status = 503
    pausing.poll_headers = ['Zinnialead-Pause: 0.8']
    pausing.polls_s.clear()
    await until(lambda: pausing.polls_s)
    first_s = pausing.polls_s[0]
    await trio.sleep(0.05)
    pausing.works_s.clear()
    while trio.current_time() < first_s + 0.7:
        assert (await send()).status == 200
        await trio.sleep(0.02)
    assert len(pausing.polls_s) == 1
    assert not pausing.works_s
    nursery.cancel_scope.cancel()


async def test_work_for_paused_upstreams_alone_is_refused_at_once(nursery):
    (pausing,), send, entry = await start(nursery, count=1)
    pausing.shed('Zinnialead-Pause: 20')
    await until(lambda: pausing.works_s, send)
    with trio.fail_after(0.5):
        answer = await send()
    headers = dict(answer.headers)
    assert (answer.status, headers[b'zinnialead-verdict']) == (503, b'not-run')
    assert 19 <= float(headers[b'retry-after']) <= 21
    assert len(pausing.works_s) == 1
    assert entry.engine.world.counters['upstreams.pauses'] == 1
    nursery.cancel_scope.cancel()


async def test_an_announcement_in_an_answer_to_another_request_is_not_used(
    nursery,
):
    async def respond(exchange):
        if exchange.path in POLLS:
            await exchange.stream.send_all(raw.response(200, body=b'{}'))
            return
        name = 'Zinnialead-Request-Id: other.1.1.1'
        await exchange.stream.send_all(raw.response(200, name, LEAVING))

    address = await raw.serve(nursery, raw.RawUpstream(respond))
    entry, addresses = await entries.start(nursery, address)
    await ask(addresses.callers)
    assert not announced_by(entry)
    assert entry.engine.world.counters['upstreams.stray_answers'] > 0
    nursery.cancel_scope.cancel()


async def test_the_fleet_view_shows_what_is_left_alone(nursery):
    upstreams, send, entry = await start(nursery)
    upstreams[0].headers = upstreams[0].poll_headers = [LEAVING]
    upstreams[1].shed('Zinnialead-Pause: 30')
    await until(lambda: upstreams[1].works_s, send)
    await until(lambda: FIRST in announced_by(entry), send)
    view = fleet.fleet(entry.engine.world, entry.engine.now_ms())
    views = {x['upstream']: x for x in view['upstreams']}
    assert views[FIRST]['leaving']
    assert views[FIRST]['paused_for_ms'] is None
    assert not views[SECOND]['leaving']
    assert 0.0 < views[SECOND]['paused_for_ms'] <= 30_000.0
    nursery.cancel_scope.cancel()


def read(status, *headers):
    return tuple(
        announcements.read(httpcore.Response(status, headers=headers))
    )


@pytest.mark.parametrize(
    ('value', 'found'),
    [(b'1', (notices.Leaves(),)), (b'0', ()), (b'', ()), (b'yes', ())],
)
@pytest.mark.parametrize('status', [200, 404, 500, 503])
def test_only_1_announces_that_an_upstream_leaves(status, value, found):
    assert read(status, (b'Zinnialead-Leaving', value)) == found


def test_only_a_503_asks_for_a_pause():
    pause = (b'Zinnialead-Pause', b'0.5')
    assert read(503, pause) == (notices.Pauses(500.0),)
    assert read(200, pause) == read(429, pause) == ()


@hypothesis.given(st.lists(st.binary(max_size=30), max_size=3))
def test_any_value_of_a_pause_is_a_finite_time_or_unreadable(values):
    for notice in read(503, *((b'zinnialead-pause', x) for x in values)):
        match notice:
            case notices.Pauses(pause_ms):
                assert 0.0 <= pause_ms <= 1e15
            case notices.UnreadablePause(text):
                assert len(text) <= 40
