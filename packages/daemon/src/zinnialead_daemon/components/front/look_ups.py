"""Serve look-ups: one in a query or many in a JSON document."""

import typing
import urllib.parse

import expression
import msgspec
import trio

from zinnialead_core.components.lookups import coordinator as lookups
from zinnialead_core.components.lookups import models as lookup_models
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.front import const
from zinnialead_daemon.components.front import models
from zinnialead_daemon import http


class QuestionDocument(typing.TypedDict, total=False):
    """Define one question of a look-up."""

    service: typing.Required[str]
    rank: str
    domain: str
    client: str


class QuestionsDocument(typing.TypedDict):
    """Define the document that asks many questions in one call."""

    questions: list[QuestionDocument]


class ChoiceDocument(typing.TypedDict):
    """Describe one entry that the client may use."""

    entry: str
    domain: str
    address: str
    key_prefix: str


class AnswerDocument(typing.TypedDict):
    """Define the answer to one question, with the best entry first."""

    choices: list[ChoiceDocument]
    lifetime_ms: float


QuestionResult = expression.Result[lookup_models.LookUp, str]
QuestionsResult = expression.Result[list[lookup_models.LookUp], str]
QUERY_FIELDS = {
    name.encode(): name for name in QuestionDocument.__annotations__
}
USAGE = 'a query gives service, and at most once each of ' + ', '.join(
    QUERY_FIELDS.values()
)
QUESTIONS_DECODER = msgspec.json.Decoder(QuestionsDocument, strict=True)
ENCODER = msgspec.json.Encoder()
STOPPING = http.Problem(
    503, verdict.Reason.STOPPING.value, 'this entry is stopping', 1000.0
)


def parse_query(query: bytes) -> QuestionResult:
    """Return the question in a query string, or why it is invalid."""
    values: dict[str, str] = {}
    for parameter in query.split(b'&', len(QUERY_FIELDS)):
        name, _, value = parameter.partition(b'=')
        field = QUERY_FIELDS.get(name)
        if field is None or field in values or not value:
            return expression.Error(USAGE)
        try:
            values[field] = _unquote(value).decode()
        except UnicodeDecodeError:
            return expression.Error(f'{field} is not UTF-8')
    if 'service' not in values:
        return expression.Error(USAGE)
    return _check_question(typing.cast('QuestionDocument', values))


def parse_document(body: bytes) -> QuestionsResult:
    """Return the questions in a document, or why it is invalid."""
    try:
        documents = QUESTIONS_DECODER.decode(body)['questions']
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return expression.Error(f'the document does not parse: {error}')
    if len(documents) > const.QUESTIONS_MAX:
        return expression.Error(f'more than {const.QUESTIONS_MAX} questions')
    questions = []
    for document in documents:
        match _check_question(document):
            case expression.Result(tag='ok', ok=question):
                questions.append(question)
            case expression.Result(error=detail):
                return expression.Error(detail)
    return expression.Ok(questions)


def answer(
    engine: engine_models.Engine, question: lookup_models.LookUp
) -> AnswerDocument:
    """Return the answer to one question."""
    result = lookups.look_up(engine.world, engine.now_ms(), question)
    return AnswerDocument(
        choices=[
            ChoiceDocument(
                entry=choice.entry,
                domain=choice.domain,
                address=choice.address,
                key_prefix=choice.key_prefix,
            )
            for choice in result.choices
        ],
        lifetime_ms=result.lifetime_ms,
    )


async def serve(
    front: models.Front,
    scope: http.Scope,
    receive: http.Receive,
    send: http.Send,
) -> None:
    """Serve one look-up call, with one question or many."""
    engine = front.engine
    engine.world.counters['front.look_ups'] += 1
    match scope['method']:
        case 'GET':
            await _serve_query(engine, scope, send)
        case 'POST':
            await _serve_document(front, receive, send)
        case method:
            problem = http.Problem(405, 'method', f'{method} asks nothing')
            await http.send_problem(send, problem)


async def _serve_query(
    engine: engine_models.Engine, scope: http.Scope, send: http.Send
) -> None:
    match parse_query(scope['query_string']):
        case expression.Result(tag='ok', ok=question):
            document = answer(engine, question)
            await _respond(send, ENCODER.encode(document))
        case expression.Result(error=error):
            await _refuse(engine, send, error)


async def _serve_document(
    front: models.Front, receive: http.Receive, send: http.Send
) -> None:
    engine = front.engine
    match await _read_body(front, receive):
        case bytes() as body:
            await _answer_document(engine, send, body)
        case http.Problem() as problem:
            await http.send_problem(send, problem, [const.NOT_RUN_HEADER])
        case None:
            await _refuse(engine, send, 'the document is too large or cut')


async def _read_body(
    front: models.Front, receive: http.Receive
) -> bytes | http.Problem | None:
    """Return the body, None if it is invalid, or that the entry stops."""
    body: bytes | http.Problem | None = STOPPING
    async with trio.open_nursery() as nursery:
        scope = nursery.cancel_scope
        nursery.start_soon(_end_after_stop, front, scope)
        body = await http.read_body(receive, const.LOOK_UP_MAX_BYTES)
        scope.cancel()
    return body


async def _end_after_stop(
    front: models.Front, scope: trio.CancelScope
) -> None:
    await front.stopping.wait()
    scope.deadline = trio.current_time() + const.STOP_READ_S


async def _answer_document(
    engine: engine_models.Engine, send: http.Send, body: bytes
) -> None:
    match parse_document(body):
        case expression.Result(tag='ok', ok=questions):
            answers = [answer(engine, question) for question in questions]
            await _respond(send, ENCODER.encode({'answers': answers}))
        case expression.Result(error=error):
            await _refuse(engine, send, error)


async def _respond(send: http.Send, body: bytes) -> None:
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        (const.HEADER_VERDICT, b'ran'),
    ]
    await http.respond(send, 200, headers, body)


async def _refuse(
    engine: engine_models.Engine, send: http.Send, detail: str
) -> None:
    engine.world.counters['front.bad_look_up'] += 1
    problem = http.Problem(400, 'bad-request', detail)
    await http.send_problem(send, problem, [const.NOT_RUN_HEADER])


def _unquote(value: bytes) -> bytes:
    # Fast path: nearly all values are plain names without escapes.
    if b'%' not in value and b'+' not in value:
        return value
    return urllib.parse.unquote_to_bytes(value.replace(b'+', b' '))


def _check_question(document: QuestionDocument) -> QuestionResult:
    if any(
        len(str(value)) > const.NAME_MAX_BYTES for value in document.values()
    ):
        return expression.Error('a question holds too long a name')
    rank = document.get('rank')
    domain = document.get('domain')
    return expression.Ok(
        lookup_models.LookUp(
            service=ids.ServiceId(document['service']),
            rank=None if rank is None else ids.RankId(rank),
            domain=None if domain is None else ids.DomainId(domain),
            client=document.get('client'),
        )
    )
