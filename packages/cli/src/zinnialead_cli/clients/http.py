"""Make an HTTP call with a timeout."""

import time
import typing

import expression
import httpcore

from zinnialead_cli import const

CALL_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


class EndlessError(Exception):
    """Signal a response that exceeds a limit."""


class Response(typing.NamedTuple):
    """Hold the status and body of a response."""

    status: int
    body: bytes


def call(
    method: str,
    url: str,
    headers: dict[bytes | str, bytes | str] | None = None,
    content: bytes | None = None,
) -> expression.Result[Response, str]:
    """Return the response, or the reason why there is none."""
    timeout_s = const.CALL_TIMEOUT_MS / const.MS_PER_S
    timeouts = dict.fromkeys(('connect', 'read', 'write', 'pool'), timeout_s)
    try:
        with httpcore.stream(
            method,
            url,
            headers=headers,
            content=content,
            extensions={'timeout': timeouts},
        ) as response:
            return expression.Ok(Response(response.status, _read(response)))
    except (*CALL_ERRORS, EndlessError) as error:
        return expression.Error(f'{method} {url}: {error!r}')


def _read(response: httpcore.Response) -> bytes:
    """Return the body; raises EndlessError if it is too long or too slow."""
    end_s = time.monotonic() + const.BODY_TIMEOUT_MS / const.MS_PER_S
    body = bytearray()
    for part in response.iter_stream():
        body += part
        if len(body) > const.BODY_BYTES_MAX:
            raise EndlessError(f'a body of over {const.BODY_BYTES_MAX} bytes')
        if time.monotonic() > end_s:
            raise EndlessError(f'a body over {const.BODY_TIMEOUT_MS:.0f} ms')
    return bytes(body)
