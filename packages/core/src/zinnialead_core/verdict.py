"""Define the outcomes of attempts and the refusals of requests."""

import dataclasses
import enum
import typing


class Verdict(enum.StrEnum):
    """Define whether a request took effect, as far as is known."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'


class Reason(enum.StrEnum):
    """Define the reasons for a refusal."""

    BAD_REQUEST = 'bad-request'
    UNKNOWN_SERVICE = 'unknown-service'
    UNKNOWN_RANK = 'unknown-rank'
    KEY_MISSING = 'key-missing'
    KEY_IN_PROGRESS = 'key-in-progress'
    KEY_BARRED = 'key-barred'
    KEY_EXPIRED = 'key-expired'
    KEY_UNDECIDED = 'key-undecided'
    KEY_REGISTRAR_DOWN = 'key-registrar-down'
    KEYS_FULL = 'keys-full'
    DEADLINE_PASSED = 'deadline-passed'
    DEADLINE_TOO_SHORT = 'deadline-too-short'
    QUEUE_FULL = 'queue-full'
    NO_UPSTREAM = 'no-upstream'
    NO_HEADROOM = 'no-headroom'
    RETRY_BUDGET = 'retry-budget'
    CAP_REACHED = 'cap-reached'
    STOPPING = 'stopping'
    STOP_ENDED = 'stop-ended'
    NOT_READY = 'not-ready'
    UPSTREAM_LOST = 'upstream-lost'
    CALLER_GONE = 'caller-gone'


class Refusal(typing.NamedTuple):
    """Hold an answer that the entry gives in place of an upstream's."""

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after_ms: float = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Report a complete answer of an upstream.

    ``record`` is the encoded answer to replay under the request's key, or
    None if it was too large to keep.
    """

    status: int
    record: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """Report that the upstream refused the request before running it."""

    retry_after_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Report that no byte of the request reached the upstream."""

    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Unsendable:
    """Report a request that can't be written to any upstream."""

    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NeverStarted:
    """Report a cancelled request that the upstream confirmed as not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Report that the request was sent and its outcome is unknown.

    ``is_faulty`` is set if the upstream's answer was no HTTP, or too long.
    """

    detail: str = ''
    is_faulty: bool = False


Outcome = Answered | Shed | NotSent | Unsendable | NeverStarted | Lost


def verdict_of(outcome: Outcome) -> Verdict:
    """Return whether a request took effect, by its attempt's outcome.

    >>> verdict_of(Shed()).value
    'not-run'
    >>> verdict_of(Lost()).value
    'may-have-run'
    """
    match outcome:
        case Answered():
            return Verdict.RAN
        case Shed() | NotSent() | Unsendable() | NeverStarted():
            return Verdict.NOT_RUN
        case Lost():
            return Verdict.MAY_HAVE_RUN
