"""Test the memory and the latency of the program among endless requests."""

import signal

import pytest
import trio

from adapter import raw_upstreams as raw
from adapter import test_answers_memory as answers
from adapter import test_process as processes
import endless

CALLERS = 10
FLOOD_S = 2.0
POST = b'POST /desk/1 HTTP/1.1\r\nHost: desk.example\r\n'
CHUNKED = POST + b'Transfer-Encoding: chunked\r\n\r\n'
FLOODS = {
    'rubbish': endless.Endless(b'rubbish\r\n\r\n', b'a' * 65_536),
    'header': endless.Endless(POST + b'A: ', b'a' * 65_536),
    'long body': endless.Endless(
        POST + b'Content-Length: 1000000000000\r\n\r\n', b'a' * 65_536
    ),
    'chunks': endless.Endless(
        CHUNKED, (b'1000\r\n' + b'a' * 4_096 + b'\r\n') * 16
    ),
    'tiny chunks': endless.Endless(CHUNKED, b'2\r\nab\r\n' * 9_000),
}


async def flood(settings, endless_request):
    """Send a request without end, and again when the entry has closed."""
    host, _, port = settings.front_bind.partition(':')
    while True:
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await endless.write(stream, endless_request)


@pytest.mark.parametrize('kind', FLOODS)
async def test_endless_requests_leave_memory_and_time_for_others(
    nursery, tmp_path, kind
):
    """Rubbish took 1 GB, and tiny chunks the time of all other requests."""
    process, settings = await answers.start(nursery, tmp_path, raw.run)
    latencies_s = []
    with trio.move_on_after(FLOOD_S):
        async with trio.open_nursery() as callers:
            for _ in range(CALLERS):
                callers.start_soon(flood, settings, FLOODS[kind])
            for number in range(1_000):
                latencies_s.append(await answers.ask_sound(settings, number))
                await trio.sleep(0.02)
    used_mb = answers.peak_mb(process)
    process.send_signal(signal.SIGTERM)
    await processes.wait_for_exit(process)
    assert used_mb < answers.MEMORY_MB
    assert len(latencies_s) > 10
    assert max(latencies_s) < answers.TARGET_S
