"""Parse and validate the heads of callers' requests."""

from collections import abc
import re
import typing
import urllib.parse

import expression

from zinnialead_config.settings import models as settings
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_daemon.components.front import const
from zinnialead_daemon.components.front import models
from zinnialead_daemon import http

NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,127}')
KEY_PATTERN = re.compile(r'[!-~]{1,255}')
NUMBER_PATTERN = re.compile(r'[0-9]{1,15}(\.[0-9]{1,6})?')
COUNT_PATTERN = re.compile(r'[0-9]{1,15}')
HOP_BY_HOP_HEADERS = {
    b'connection',
    b'expect',
    b'host',
    b'keep-alive',
    b'proxy-authenticate',
    b'proxy-authorization',
    b'proxy-connection',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
}
SINGLE_VALUE_HEADERS = {
    const.HEADER_RANK,
    const.HEADER_DEADLINE,
    const.HEADER_KEY,
    const.HEADER_KEY_CREATED,
    const.HEADER_LENGTH,
}

ControlHeaders = dict[bytes, str]
HeadResult = expression.Result[models.RequestHead, http.Problem]


class BadRequestError(Exception):
    """Signal an invalid request, with a status and a detail."""


def request_head(scope: http.Scope, bounds: settings.Bounds) -> HeadResult:
    """Return the parsed head of a request, or the problem to respond with."""
    try:
        _check_limits(scope, bounds)
        return expression.Ok(_head(scope))
    except BadRequestError as error:
        status, detail = error.args
        reason = verdict.Reason.BAD_REQUEST.value
        return expression.Error(http.Problem(status, reason, detail))


def end_to_end(headers: abc.Iterable[tuple[bytes, bytes]]) -> http.Headers:
    """Return the headers without the hop-by-hop ones.

    >>> end_to_end([(b'Connection', b'x-a'), (b'X-A', b'1'), (b'b', b'2')])
    [(b'b', b'2')]
    """
    lowered = [(name.lower(), value) for name, value in headers]
    connection_options = {
        token.strip().lower()
        for name, value in lowered
        if name == b'connection'
        for token in value.split(b',')
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return [(name, value) for name, value in lowered if name not in dropped]


def parse_ms(text: str) -> float | None:
    """Return a time in ms, or None if the text is not a valid number.

    >>> parse_ms('250'), parse_ms('nan'), parse_ms('-1'), parse_ms('1e9')
    (250.0, None, None, None)
    """
    return float(text) if NUMBER_PATTERN.fullmatch(text) else None


def _check_limits(scope: http.Scope, bounds: settings.Bounds) -> None:
    if scope['http_version'] != '1.1':
        # Only HTTP/1.1 framing shows by itself that a response is
        # incomplete.
        raise BadRequestError(505, 'only HTTP/1.1 is served')
    headers = scope['headers']
    if len(headers) > bounds.headers_max:
        detail = f'{len(headers)} headers, at most {bounds.headers_max}'
        raise BadRequestError(431, detail)
    size_bytes = sum(len(name) + len(value) for name, value in headers)
    if size_bytes > bounds.header_max_bytes:
        detail = f'headers of {size_bytes} bytes'
        raise BadRequestError(431, detail)
    if len(_target(scope)) > const.TARGET_MAX_BYTES:
        detail = f'a path of more than {const.TARGET_MAX_BYTES} bytes'
        raise BadRequestError(414, detail)


def _head(scope: http.Scope) -> models.RequestHead:
    control = _control_headers(scope['headers'])
    destination = _destination(scope)
    rank = _matching_header(control, const.HEADER_RANK, NAME_PATTERN)
    key = _matching_header(control, const.HEADER_KEY, KEY_PATTERN)
    left_ms = _time_ms(control, const.HEADER_DEADLINE)
    if left_ms is None:
        left_ms = const.DEADLINE_DEFAULT_MS
    headers = end_to_end(scope['headers'])
    dropped = (const.HEADER_DEADLINE, const.HEADER_LENGTH)
    return models.RequestHead(
        method=scope['method'].encode(),
        service=ids.ServiceId(destination.service),
        target=destination.target,
        rank=None if rank is None else ids.RankId(rank),
        left_ms=min(left_ms, const.DEADLINE_MAX_MS),
        key=None if key is None else ids.Key(key),
        key_created_ms=_time_ms(control, const.HEADER_KEY_CREATED),
        length_bytes=_length_bytes(control),
        headers=[header for header in headers if header[0] not in dropped],
    )


def _control_headers(headers: http.Headers) -> ControlHeaders:
    control: ControlHeaders = {}
    for name, value in headers:
        text = _text(value, f'header {name.decode("latin-1")}')
        if name not in SINGLE_VALUE_HEADERS:
            continue
        if name in control:
            raise BadRequestError(400, f'{name.decode()} is given twice')
        control[name] = text
    return control


class Destination(typing.NamedTuple):
    """Hold the service named in a path, and the target for its upstream."""

    service: str
    target: bytes


def _destination(scope: http.Scope) -> Destination:
    raw_path: bytes = scope['raw_path']
    path = raw_path[len(const.REQUEST_PREFIX) :]
    name, _, rest = path.partition(b'/')
    _text(urllib.parse.unquote_to_bytes(rest), 'path')
    query: bytes = scope['query_string']
    _text(urllib.parse.unquote_to_bytes(query), 'query')
    service = _text(urllib.parse.unquote_to_bytes(name), 'service')
    if not NAME_PATTERN.fullmatch(service):
        raise BadRequestError(400, f'{service!r} names no service')
    return Destination(service, b'/' + rest + (b'?' + query if query else b''))


def _target(scope: http.Scope) -> bytes:
    raw_path: bytes = scope['raw_path']
    query: bytes = scope['query_string']
    return raw_path + query


def _text(value: bytes, part: str) -> str:
    try:
        return value.decode('utf-8')
    except UnicodeDecodeError as error:
        raise BadRequestError(400, f'{part} is not UTF-8') from error


def _matching_header(
    control: ControlHeaders, name: bytes, pattern: re.Pattern[str]
) -> str | None:
    text = control.get(name)
    if text is not None and not pattern.fullmatch(text):
        raise BadRequestError(400, f'{name.decode()}: {text[:40]!r}')
    return text


def _time_ms(control: ControlHeaders, name: bytes) -> float | None:
    text = control.get(name)
    if text is None:
        return None
    time_ms = parse_ms(text)
    if time_ms is None:
        detail = f'{name.decode()}: {text[:40]!r} is no time in ms'
        raise BadRequestError(400, detail)
    return time_ms


def _length_bytes(control: ControlHeaders) -> int | None:
    text = _matching_header(control, const.HEADER_LENGTH, COUNT_PATTERN)
    if text is None:
        return None
    if int(text) > const.BODY_MAX_BYTES:
        detail = f'a body of {text} bytes, at most {const.BODY_MAX_BYTES}'
        raise BadRequestError(413, detail)
    return int(text)
