"""Make an HTTP call with a timeout."""

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
        response = httpcore.request(
            method,
            url,
            headers=headers,
            content=content,
            extensions={'timeout': timeouts},
        )
    except CALL_ERRORS as error:
        return expression.Error(f'{method} {url}: {error!r}')
    return expression.Ok(Response(response.status, response.content))
