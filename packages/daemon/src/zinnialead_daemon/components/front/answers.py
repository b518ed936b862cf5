"""Send the core's decisions to callers."""

from zinnialead_core import outputs as out
from zinnialead_core import verdict
from zinnialead_daemon.components.front import const
from zinnialead_daemon.components.front import models
from zinnialead_daemon.components.front import parsing
from zinnialead_daemon.components.front import records
from zinnialead_daemon import http

STATUS_BY_REASON: dict[verdict.Reason, int] = {
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.KEY_MISSING: 400,
    verdict.Reason.UNKNOWN_RANK: 400,
    verdict.Reason.UNKNOWN_SERVICE: 404,
    verdict.Reason.KEY_IN_PROGRESS: 409,
    verdict.Reason.KEY_BARRED: 409,
    verdict.Reason.KEY_UNDECIDED: 409,
    verdict.Reason.KEY_EXPIRED: 410,
    verdict.Reason.QUEUE_FULL: 429,
    verdict.Reason.UPSTREAM_LOST: 502,
    verdict.Reason.DEADLINE_PASSED: 504,
    verdict.Reason.STOP_ENDED: 504,
}
STATUS_UNAVAILABLE = 503
RAN_HEADER = (const.HEADER_VERDICT, verdict.Verdict.RAN.encode())
UNDECIDED = verdict.Refusal(
    verdict.Verdict.MAY_HAVE_RUN,
    verdict.Reason.UPSTREAM_LOST,
    'the entry came to no decision by the deadline',
)
BODY_TOO_LARGE = verdict.Refusal(
    verdict.Verdict.NOT_RUN,
    verdict.Reason.BAD_REQUEST,
    'the body is larger than the service allows',
)
ANSWER_NOT_KEPT = http.Problem(
    409, 'answer-not-kept', 'the work ran; its answer was too large to keep'
)


async def send_decision(
    send: http.Send, exchange: models.Exchange, decision: models.Decision
) -> None:
    """Send the response that the core decided on."""
    match decision:
        case out.Relay(_, attempt):
            await _relay(send, exchange.answers[attempt])
        case out.Replay(_, status, record):
            await _replay(send, status, record)
        case out.Refuse(_, refusal):
            await refuse(send, refusal)


async def refuse(send: http.Send, refusal: verdict.Refusal) -> None:
    """Send a refusal as a problem document with its verdict."""
    problem = http.Problem(
        STATUS_BY_REASON.get(refusal.reason, STATUS_UNAVAILABLE),
        refusal.reason.value,
        refusal.detail,
        refusal.retry_after_ms,
    )
    headers = [(const.HEADER_VERDICT, refusal.verdict.encode())]
    await http.send_problem(send, problem, headers)


async def _relay(send: http.Send, answer: models.UpstreamAnswer) -> None:
    headers = [*parsing.end_to_end(answer.headers), RAN_HEADER]
    if answer.rest_receiver is None:
        await http.respond(send, answer.status, headers, answer.body)
        return
    with answer.rest_receiver:
        await http.start_response(send, answer.status, headers)
        await _send_chunk(send, models.Chunk(answer.body, is_last=False))
        async for chunk in answer.rest_receiver:
            await _send_chunk(send, chunk)
    # Without a last chunk the server closes the connection, and the
    # framing shows the caller that the response is incomplete.


async def _send_chunk(send: http.Send, chunk: models.Chunk) -> None:
    message = {
        'type': 'http.response.body',
        'body': chunk.data,
        'more_body': not chunk.is_last,
    }
    await send(message)


async def _replay(send: http.Send, status: int, record: bytes | None) -> None:
    recorded = None if record is None else records.decode(record)
    if recorded is None:
        await http.send_problem(send, ANSWER_NOT_KEPT, [RAN_HEADER])
        return
    headers = [RAN_HEADER]
    if recorded.content_type:
        headers.append((const.HEADER_TYPE, recorded.content_type))
    await http.respond(send, status, headers, recorded.body)
