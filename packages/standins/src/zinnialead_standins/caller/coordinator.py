"""Ask the system the way a well-behaved caller does."""

from collections import abc
import functools

import httpcore
import msgspec
import trio

from zinnialead_standins.caller import const
from zinnialead_standins.caller import models

BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
BARRED = 'key-barred'
REGISTRAR_DOWN = 'key-registrar-down'
# Refusals that asking again does not change.
FINAL = frozenset({'bad-request', 'unknown-service', 'unknown-rank'})
# No later answer under this key says more.
SETTLED = 'key-undecided'
STOPPING = 'stopping'
SENT_EVENT = 'http11.send_request_headers.started'
DECODER = msgspec.json.Decoder(models.LookUpDocument)


async def send(caller: models.Caller, work: models.Work) -> models.Outcome:
    """Return what became of one piece of work, counted by its kind."""
    started_ms = _now_ms()
    answer = await _send_until_final(caller, work, started_ms)
    kind = type(answer).__name__
    caller.outcomes[f'{work.rank}/{kind}'] += 1
    return answer


async def entry_addresses(caller: models.Caller, service: str) -> list[str]:
    """Return the addresses to use, from the cache while it is fresh."""
    row = await _look_up(caller, service)
    known = [] if row is None else row.document['choices']
    alive = [
        choice['address']
        for choice in known
        if choice['address'] not in caller.dead
    ]
    return alive or caller.seeds


async def fresh_key(
    caller: models.Caller, service: str, address: str
) -> str | None:
    """Return a new key with the prefix of the choice at an address."""
    row = await _look_up(caller, service)
    known = [] if row is None else row.document['choices']
    prefixes = {x['address']: x['key_prefix'] for x in known}
    prefix = prefixes.get(address)
    if prefix is None:
        return None
    nonce = f'{caller.random.getrandbits(48):x}-{next(caller.numbers)}'
    return f'{prefix}.{nonce}'


async def _send_until_final(
    caller: models.Caller, work: models.Work, started_ms: float
) -> models.Outcome:
    key = work.key
    broke = False
    last = models.NotRun('no-answer', 0.0)
    for number in range(const.TRIES_MAX):
        left_ms = work.deadline_ms - (_now_ms() - started_ms)
        if left_ms <= 0.0:
            break
        addresses = await entry_addresses(caller, work.service)
        address = addresses[number % len(addresses)]
        if work.keyed and key is None:
            key = await fresh_key(caller, work.service, address)
        match await _try(caller, work, address, key, left_ms, started_ms):
            case models.Broken(_, sent):
                caller.dead.add(address)
                # Only the same key, asked again, can tell what ran.
                broke = broke or (sent and work.keyed)
                key = key if broke else work.key
            case models.NotRun(reason) as last if reason not in FINAL:
                if reason == STOPPING:
                    caller.dead.add(address)
                if not broke or reason == BARRED:
                    key, broke = work.key, False
                if reason in {BARRED, REGISTRAR_DOWN}:
                    # A new look-up names registrars that are alive.
                    caller.cached.pop(work.service, None)
                await _pause(caller)
            case models.MayHaveRun(reason) if work.keyed and reason != SETTLED:
                broke = True
                if reason == STOPPING:
                    caller.dead.add(address)
                await _pause(caller)
            case answer:
                return answer
    if broke:
        return models.MayHaveRun('no-end-heard', _now_ms() - started_ms)
    return last


async def _try(
    caller: models.Caller,
    work: models.Work,
    address: str,
    key: str | None,
    left_ms: float,
    started_ms: float,
) -> models.Outcome | models.Broken:
    events: list[str] = []
    extensions = {
        'timeout': _timeouts(left_ms),
        'trace': functools.partial(_trace, events),
    }
    try:
        answer = await caller.pool.request(
            'POST',
            f'http://{address}/v1/services/{work.service}/{work.name}',
            headers=list(_headers(work, key, left_ms)),
            content=work.body,
            extensions=extensions,
        )
    except BROKEN:
        return models.Broken(address, SENT_EVENT in events)
    return _read(work, answer, _now_ms() - started_ms)


async def _trace(events: list[str], event: str, _: object) -> None:
    events.append(event)


def _timeouts(left_ms: float) -> models.Timeouts:
    wait_s = (left_ms + const.GRACE_MS) / const.MS_PER_S
    return models.Timeouts(
        connect=const.CONNECT_TIMEOUT_S, read=wait_s, write=wait_s
    )


def _headers(
    work: models.Work, key: str | None, left_ms: float
) -> abc.Iterator[tuple[bytes, bytes]]:
    yield const.HEADER_WORK, work.name.encode()
    yield b'zinnialead-rank', work.rank.encode()
    yield b'zinnialead-deadline-ms', str(max(1, int(left_ms))).encode()
    if key is not None:
        yield b'idempotency-key', key.encode()


def _read(
    work: models.Work, answer: httpcore.Response, elapsed_ms: float
) -> models.Outcome:
    headers = dict(answer.headers)
    match headers.get(const.HEADER_VERDICT):
        case b'ran':
            own = answer.content.split(b' ')[0] == work.name.encode()
            if own or not answer.content:
                return models.Ran(answer.status, elapsed_ms, answer.content)
            return models.Crossed(answer.content, elapsed_ms)
        case b'may-have-run':
            return models.MayHaveRun(_reason(answer), elapsed_ms)
        case _:
            return models.NotRun(_reason(answer), elapsed_ms)


def _reason(answer: httpcore.Response) -> str:
    try:
        document = msgspec.json.decode(answer.content, type=dict[str, object])
    except msgspec.MsgspecError:
        return str(answer.status)
    return str(document.get('title', answer.status))


async def _look_up(
    caller: models.Caller, service: str
) -> models.CachedRow | None:
    row = caller.cached.get(service)
    if row is not None and row.expires_ms > _now_ms():
        return row
    known = [] if row is None else row.document['choices']
    addresses = [choice['address'] for choice in known] + caller.seeds
    for address in addresses:
        document = await _look_up_at(caller, service, address)
        if document is not None:
            expires_ms = _now_ms() + document['lifetime_ms']
            caller.cached[service] = models.CachedRow(document, expires_ms)
            return caller.cached[service]
    return row


async def _look_up_at(
    caller: models.Caller, service: str, address: str
) -> models.LookUpDocument | None:
    if address in caller.dead:
        return None
    query = f'service={service}&domain={caller.domain}'
    wait_s = const.LOOK_UP_TIMEOUT_S
    timeout = models.Timeouts(connect=wait_s, read=wait_s, write=wait_s)
    try:
        answer = await caller.pool.request(
            'GET',
            f'http://{address}/v1/look-up?{query}',
            extensions={'timeout': timeout},
        )
        return DECODER.decode(answer.content)
    except (*BROKEN, msgspec.MsgspecError):
        caller.dead.add(address)
        return None


async def _pause(caller: models.Caller) -> None:
    pause_ms = caller.random.uniform(1.0, 2.0) * const.PAUSE_MIN_MS
    await trio.sleep(pause_ms / const.MS_PER_S)


def _now_ms() -> float:
    return trio.current_time() * const.MS_PER_S
