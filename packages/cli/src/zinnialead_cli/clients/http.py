"""Make one bounded HTTP call."""

import typing

import expression
import httpcore

from zinnialead_cli import const

FAULTS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


class Answer(typing.NamedTuple):
    """Hold the status and body of an answer."""

    status: int
    body: bytes


def call(
    method: str,
    url: str,
    headers: dict[bytes | str, bytes | str] | None = None,
    content: bytes | None = None,
) -> expression.Result[Answer, str]:
    """Return the answer, or why there is none."""
    seconds = const.CALL_TIMEOUT_MS / const.MS_PER_S
    timeouts = dict.fromkeys(('connect', 'read', 'write', 'pool'), seconds)
    try:
        answer = httpcore.request(
            method,
            url,
            headers=headers,
            content=content,
            extensions={'timeout': timeouts},
        )
    except FAULTS as error:
        return expression.Error(f'{method} {url}: {error!r}')
    return expression.Ok(Answer(answer.status, answer.content))
