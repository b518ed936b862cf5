"""Define the question and the answer of a look-up."""

import typing

from zinnialead_core import ids


class LookUp(typing.NamedTuple):
    """Ask which entries to use for a service, rank and zone or client."""

    service: ids.ServiceId
    rank: ids.RankId | None
    domain: ids.DomainId | None
    client: str | None


class Choice(typing.NamedTuple):
    """Name one entry that may be used."""

    entry: ids.EntryId
    domain: ids.DomainId
    address: str


class LookUpAnswer(typing.NamedTuple):
    """List the entries to use, best first, and a prefix for keys."""

    choices: tuple[Choice, ...]
    lifetime_ms: float
    key_prefix: str
