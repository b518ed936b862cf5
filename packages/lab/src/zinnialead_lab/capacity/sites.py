"""Measure state size and load reports in steps of the number of sites."""

from collections import abc
import time

from zinnialead_core.components import steering
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import messages
from zinnialead_daemon.components.peers import codec
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import states

SENDER = ids.EntryRef(ids.EntryId('entry'), 1)
REPEATS = 20

LoadRows = tuple[steering.LoadRow, ...]


def measure(counts: abc.Iterable[int]) -> abc.Iterator[models.Step]:
    """Yield sizes and codec times for each number of sites."""
    for count in counts:
        data = tickets.StateData(states.state(count))
        yield from _coded('spread of tickets', 'whole state', data, count)
        report = steering.LoadReport(_loads(count))
        yield from _coded('load exchange', 'report of all', report, count)


def _coded(
    role: str, name: str, message: messages.Message, count: int
) -> abc.Iterator[models.Step]:
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
    yield models.Step(role, f'{name}, size', 'B', count, size)
    encode_ms = (encoded_s - started_s) * const.MS_PER_S / REPEATS
    yield models.Step(role, f'{name}, encode', 'ms', count, encode_ms)
    decode_ms = (decoded_s - encoded_s) * const.MS_PER_S / REPEATS
    yield models.Step(role, f'{name}, decode', 'ms', count, decode_ms)


def _loads(count: int) -> LoadRows:
    return tuple(
        steering.LoadRow(
            service=ids.ServiceId(f'service-{n % const.SERVICES}'),
            domain=ids.DomainId(f'site-{n}'),
            slots=40,
            in_use=n % 40,
            queued=n % 7,
            service_time_ms=100.0 + n,
            seen_ms=0.0,
        )
        for n in range(count)
    )
