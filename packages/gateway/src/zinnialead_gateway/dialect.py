"""Define the functions that translate between a platform and the gateway.

An adapter implements them with the platform's names of headers, objects and
statuses. The gateway uses only the types defined here and the core's rows.
"""

from collections import abc
import typing

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.store import models as store
from zinnialead_core import ids
from zinnialead_core import notices as core_notices
from zinnialead_core import verdict

Headers = list[tuple[bytes, bytes]]


class RequestHead(typing.NamedTuple):
    """Hold the decoded head of a caller's request.

    ``name`` is the caller's request id, empty if it sent none; ``headers``
    are the ones to forward.
    """

    name: str
    host: str
    path: str
    object_key: str | None
    deadline_in_ms: float | None
    headers: Headers


class ResponseHead(typing.NamedTuple):
    """Hold the decoded head of an upstream's response.

    ``name`` is the id of the answered request, None if missing; ``sealed``
    says whether the upstream marked the response as its own; ``headers`` are
    the ones to return to the caller; ``notices`` is what the upstream
    announces about itself; ``unreadable_loads`` counts the reports of its load
    that could not be read in full.
    """

    name: str | None
    not_run: bool
    misdirected: bool
    sealed: bool
    load: inp.ReportedLoad | None
    headers: Headers
    notices: tuple[core_notices.Notice, ...] = ()
    unreadable_loads: int = 0


class HealthHead(typing.NamedTuple):
    """Hold the decoded head of a response to a health check.

    ``upstream`` is the one that answered and ``cold_ms`` how long it stays
    cold, 0 if it is warm; each is None if the response does not tell.
    """

    upstream: ids.UpstreamId | None
    cold_ms: float | None


class RefusalHead(typing.NamedTuple):
    """Hold the status and headers of a refusal by the entry."""

    status: int
    headers: Headers


class StoreRequest(typing.NamedTuple):
    """Hold an HTTP request to the platform's store."""

    method: bytes
    target: bytes
    body: bytes


class LookUp(typing.NamedTuple):
    """Hold the location that a caller gives in a look-up."""

    domain: ids.DomainId | None
    region: ids.RegionId | None


class Dialect(typing.NamedTuple):
    """Hold an adapter's functions.

    ``read_request`` raises ValueError for a head that can't be forwarded,
    ``read_store`` for a body that can't be read.  ``read_store_era`` returns
    0 for a response that does not tell the store's era.
    """

    read_request: abc.Callable[[str, Headers], RequestHead]
    write_request: abc.Callable[[RequestHead, ids.UpstreamId, int], Headers]
    read_response: abc.Callable[[int, Headers], ResponseHead]
    read_health: abc.Callable[[int, Headers], HealthHead]
    write_refusal: abc.Callable[
        [RequestHead | None, verdict.Refusal], RefusalHead
    ]
    write_store: abc.Callable[[store.Call], StoreRequest]
    read_store: abc.Callable[[store.Call, int, Headers, bytes], store.Result]
    read_store_era: abc.Callable[[Headers], int]
    read_look_up: abc.Callable[[str], LookUp | None]
    write_addresses: abc.Callable[[list[str], float], bytes]
