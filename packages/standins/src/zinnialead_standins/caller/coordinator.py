"""Send work to entries the way a well-behaved caller does."""

from collections import abc
import functools

import httpcore
import msgspec
import trio

from zinnialead_standins.caller import const
from zinnialead_standins.caller import models

CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
KEY_BARRED = 'key-barred'
KEY_REGISTRAR_DOWN = 'key-registrar-down'
# Refusals that a repeated request can not change.
PERMANENT = frozenset({'bad-request', 'unknown-service', 'unknown-rank'})
# The outcome stays unknown however often the key is repeated.
UNDECIDED = 'key-undecided'
STOPPING = 'stopping'
SENT_EVENT = 'http11.send_request_headers.started'
LOOK_UP_DECODER = msgspec.json.Decoder(models.LookUpDocument)


async def send(caller: models.Caller, work: models.Work) -> models.Outcome:
    """Send one piece of work; count and return its outcome."""
    started_ms = _now_ms()
    outcome = await _send_until_final(caller, work, started_ms)
    kind = type(outcome).__name__
    caller.outcomes[f'{work.rank}/{kind}'] += 1
    return outcome


async def entry_addresses(caller: models.Caller, service: str) -> list[str]:
    """Return the addresses of live entries, or the seeds if none is live."""
    row = await _look_up(caller, service)
    choices = [] if row is None else row.document['choices']
    live = [
        choice['address']
        for choice in choices
        if choice['address'] not in caller.unavailable
    ]
    return live or caller.seeds


async def fresh_key(
    caller: models.Caller, service: str, address: str
) -> str | None:
    """Return a new key for the entry at an address, or None if unknown."""
    row = await _look_up(caller, service)
    choices = [] if row is None else row.document['choices']
    prefixes = {choice['address']: choice['key_prefix'] for choice in choices}
    prefix = prefixes.get(address)
    if prefix is None:
        return None
    nonce = f'{caller.random.getrandbits(48):x}-{next(caller.nonce_numbers)}'
    return f'{prefix}.{nonce}'


async def _send_until_final(
    caller: models.Caller, work: models.Work, started_ms: float
) -> models.Outcome:
    key = work.key
    is_uncertain = False
    refusal = models.NotRun('no-answer', 0.0)
    for attempt in range(const.ATTEMPTS_MAX):
        left_ms = work.deadline_ms - (_now_ms() - started_ms)
        if left_ms <= 0.0:
            break
        addresses = await entry_addresses(caller, work.service)
        address = addresses[attempt % len(addresses)]
        if work.keyed and key is None:
            key = await fresh_key(caller, work.service, address)
        match await _attempt(caller, work, address, key, left_ms, started_ms):
            case models.Broken(_, sent):
                caller.unavailable.add(address)
                # Only a repeat with the same key can tell whether it ran.
                is_uncertain = is_uncertain or (sent and work.keyed)
                key = key if is_uncertain else work.key
            case models.NotRun(cause) as refusal if cause not in PERMANENT:
                if cause == STOPPING:
                    caller.unavailable.add(address)
                if not is_uncertain or cause == KEY_BARRED:
                    key, is_uncertain = work.key, False
                if cause in {KEY_BARRED, KEY_REGISTRAR_DOWN}:
                    # A new look-up returns the registrars that are up.
                    caller.look_ups.pop(work.service, None)
                await _pause(caller)
            case models.MayHaveRun(cause) if work.keyed and cause != UNDECIDED:
                is_uncertain = True
                if cause == STOPPING:
                    caller.unavailable.add(address)
                await _pause(caller)
            case outcome:
                return outcome
    if is_uncertain:
        return models.MayHaveRun('no-end-heard', _now_ms() - started_ms)
    return refusal


async def _attempt(
    caller: models.Caller,
    work: models.Work,
    address: str,
    key: str | None,
    remaining_ms: float,
    started_ms: float,
) -> models.Outcome | models.Broken:
    events: list[str] = []
    extensions = {
        'timeout': _timeouts(remaining_ms),
        'trace': functools.partial(_record_event, events),
    }
    try:
        response = await caller.pool.request(
            'POST',
            f'http://{address}/v1/services/{work.service}/{work.name}',
            headers=list(_headers(work, key, remaining_ms)),
            content=work.body,
            extensions=extensions,
        )
    except CONNECTION_ERRORS:
        return models.Broken(address, SENT_EVENT in events)
    return _classify(work, response, _now_ms() - started_ms)


async def _record_event(events: list[str], event: str, _: object) -> None:
    events.append(event)


def _timeouts(remaining_ms: float) -> models.Timeouts:
    wait_s = (remaining_ms + const.DEADLINE_GRACE_MS) / const.MS_PER_S
    return models.Timeouts(
        connect=const.CONNECT_TIMEOUT_S, read=wait_s, write=wait_s
    )


def _headers(
    work: models.Work, key: str | None, remaining_ms: float
) -> abc.Iterator[tuple[bytes, bytes]]:
    yield const.HEADER_WORK, work.name.encode()
    yield b'zinnialead-rank', work.rank.encode()
    yield b'zinnialead-deadline-ms', str(max(1, int(remaining_ms))).encode()
    if key is not None:
        yield b'idempotency-key', key.encode()


def _classify(
    work: models.Work, response: httpcore.Response, elapsed_ms: float
) -> models.Outcome:
    headers = dict(response.headers)
    match headers.get(const.HEADER_VERDICT):
        case b'ran':
            is_own = response.content.split(b' ')[0] == work.name.encode()
            if is_own or not response.content:
                return models.Ran(
                    response.status, elapsed_ms, response.content
                )
            return models.Crossed(response.content, elapsed_ms)
        case b'may-have-run':
            return models.MayHaveRun(_reason(response), elapsed_ms)
        case _:
            return models.NotRun(_reason(response), elapsed_ms)


def _reason(response: httpcore.Response) -> str:
    try:
        document = msgspec.json.decode(
            response.content, type=dict[str, object]
        )
    except msgspec.MsgspecError:
        return str(response.status)
    return str(document.get('title', response.status))


async def _look_up(
    caller: models.Caller, service: str
) -> models.LookUpRow | None:
    row = caller.look_ups.get(service)
    if row is not None and row.expires_ms > _now_ms():
        return row
    choices = [] if row is None else row.document['choices']
    addresses = [choice['address'] for choice in choices] + caller.seeds
    for address in addresses:
        document = await _look_up_at(caller, service, address)
        if document is not None:
            expires_ms = _now_ms() + document['lifetime_ms']
            caller.look_ups[service] = models.LookUpRow(document, expires_ms)
            return caller.look_ups[service]
    return row


async def _look_up_at(
    caller: models.Caller, service: str, address: str
) -> models.LookUpDocument | None:
    if address in caller.unavailable:
        return None
    query = f'service={service}&domain={caller.domain}'
    wait_s = const.LOOK_UP_TIMEOUT_S
    timeout = models.Timeouts(connect=wait_s, read=wait_s, write=wait_s)
    try:
        response = await caller.pool.request(
            'GET',
            f'http://{address}/v1/look-up?{query}',
            extensions={'timeout': timeout},
        )
        return LOOK_UP_DECODER.decode(response.content)
    except (*CONNECTION_ERRORS, msgspec.MsgspecError):
        caller.unavailable.add(address)
        return None


async def _pause(caller: models.Caller) -> None:
    pause_ms = caller.random.uniform(1.0, 2.0) * const.RETRY_PAUSE_MIN_MS
    await trio.sleep(pause_ms / const.MS_PER_S)


def _now_ms() -> float:
    return trio.current_time() * const.MS_PER_S
