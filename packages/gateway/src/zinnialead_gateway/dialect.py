"""Define what an adapter translates for the process.

An adapter knows the names of a platform's headers, objects and statuses;
everything here speaks of rows and of this project's words.
"""

from collections import abc
import typing

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_core import ids
from zinnialead_core import verdict

Headers = list[tuple[bytes, bytes]]


class RequestHead(typing.NamedTuple):
    """Hold what a caller's head says; ``headers`` are those to forward."""

    name: str
    host: str
    path: str
    object_key: str | None
    deadline_in_ms: float | None
    headers: Headers


class AnswerHead(typing.NamedTuple):
    """Hold what an upstream's head says.

    ``name`` is the request that it answers, None where it names none;
    ``sealed`` says that the upstream vouches for the answer, and
    ``headers`` are those that the caller gets.
    """

    name: str | None
    not_run: bool
    misdirected: bool
    sealed: bool
    load: inp.ReportedLoad | None
    headers: Headers


class RefusalHead(typing.NamedTuple):
    """Hold the status and headers of an answer of the entry's own."""

    status: int
    headers: Headers


class StoreRequest(typing.NamedTuple):
    """Hold one call to the platform's store."""

    method: bytes
    target: bytes
    body: bytes


class Question(typing.NamedTuple):
    """Hold what a caller's look-up says of itself."""

    domain: ids.DomainId | None
    region: ids.RegionId | None


class Dialect(typing.NamedTuple):
    """Hold an adapter's functions.

    ``read_request`` raises ValueError for a head that can't be forwarded,
    ``read_store`` for a body that can't be read.
    """

    read_request: abc.Callable[[str, Headers], RequestHead]
    write_request: abc.Callable[[RequestHead, ids.UpstreamId, int], Headers]
    read_answer: abc.Callable[[int, Headers], AnswerHead]
    write_refusal: abc.Callable[
        [RequestHead | None, verdict.Refusal], RefusalHead
    ]
    write_store: abc.Callable[[store.Call], StoreRequest]
    read_store: abc.Callable[[store.Call, int, Headers, bytes], store.Result]
    read_question: abc.Callable[[str], Question | None]
    write_addresses: abc.Callable[[list[str], float], bytes]
