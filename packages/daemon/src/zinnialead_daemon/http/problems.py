"""Send RFC 9457 problem documents."""

import typing

import msgspec

from zinnialead_daemon.http import asgi

PROBLEM_TYPE = b'application/problem+json'
MS_PER_S = 1_000.0


class Problem(typing.NamedTuple):
    """Describe why a request failed; rendered as a problem document."""

    status: int
    reason: str
    detail: str
    retry_after_ms: float | None = None


class ProblemDocument(typing.TypedDict):
    """Hold the members of a problem document."""

    type: str
    title: str
    status: int
    detail: str


async def send_problem(
    send: asgi.Send, problem: Problem, headers: asgi.Headers | None = None
) -> None:
    """Send a problem document, with ``Retry-After`` if it has a retry time."""
    all_headers = [(b'content-type', PROBLEM_TYPE), *(headers or [])]
    if problem.retry_after_ms is not None:
        seconds = max(1, round(problem.retry_after_ms / MS_PER_S))
        all_headers.append((b'retry-after', str(seconds).encode()))
    body = msgspec.json.encode(document(problem))
    await asgi.respond(send, problem.status, all_headers, body)


def document(problem: Problem) -> ProblemDocument:
    """Return the document that describes a problem.

    >>> document(Problem(404, 'no-such-path', '/x is not served'))['type']
    'urn:zinnialead:no-such-path'
    """
    return ProblemDocument(
        type=f'urn:zinnialead:{problem.reason}',
        title=problem.reason,
        status=problem.status,
        detail=problem.detail,
    )
