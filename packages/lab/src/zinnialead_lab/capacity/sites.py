"""Measure sizes and codec times of messages by the number of sites."""

from collections import abc
import time

from zinnialead_core.components import steering
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import messages
from zinnialead_daemon.components.peers import codec
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import fixtures
from zinnialead_lab.capacity import models

SENDER = ids.EntryRef(ids.EntryId('entry'), 1)
REPEATS = 20

LoadRows = tuple[steering.LoadRow, ...]


def measure(counts: abc.Iterable[int]) -> abc.Iterator[models.Point]:
    """Yield sizes and codec times of the state and of load reports."""
    for count in counts:
        state_data = tickets.StateData(fixtures.state(count))
        yield from _codec_points(
            'spread of tickets', 'whole state', state_data, count
        )
        report = steering.LoadReport(_load_rows(count))
        yield from _codec_points(
            'load exchange', 'report of all', report, count
        )


def _codec_points(
    role: str, label: str, message: messages.Message, count: int
) -> abc.Iterator[models.Point]:
    envelope = codec.Envelope(SENDER, 1, 0.0, message)
    body = codec.encode_body(envelope)
    started_s = time.process_time()
    for _ in range(REPEATS):
        codec.encode_body(envelope)
    encoded_s = time.process_time()
    for _ in range(REPEATS):
        codec.decode_body(body)
    decoded_s = time.process_time()
    size = float(len(body))
    yield models.Point(role, f'{label}, size', 'B', count, size)
    encode_ms = (encoded_s - started_s) * const.MS_PER_S / REPEATS
    yield models.Point(role, f'{label}, encode', 'ms', count, encode_ms)
    decode_ms = (decoded_s - encoded_s) * const.MS_PER_S / REPEATS
    yield models.Point(role, f'{label}, decode', 'ms', count, decode_ms)


def _load_rows(count: int) -> LoadRows:
    return tuple(
        steering.LoadRow(
            service=ids.ServiceId(f'service-{n % const.SERVICE_COUNT}'),
            domain=ids.DomainId(f'site-{n}'),
            slots=40,
            in_use=n % 40,
            queued=n % 7,
            service_time_ms=100.0 + n,
            seen_ms=0.0,
        )
        for n in range(count)
    )
