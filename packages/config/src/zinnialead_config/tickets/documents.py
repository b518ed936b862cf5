"""Define the JSON documents of tickets and of the state in force."""

import typing

import pydantic
import typing_extensions

STRICT = pydantic.with_config(pydantic.ConfigDict(extra='forbid', strict=True))

Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
# A service and a failure domain, as in ``intake/kigali-a``.
PlaceName = typing.Annotated[
    str,
    pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}/[a-z0-9-]{1,63}$'),
]
Address = typing.Annotated[
    str,
    pydantic.Field(
        pattern=r'^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-f:]+\]):[0-9]{1,5}$'
    ),
]
Ms = typing.Annotated[float, pydantic.Field(gt=0, le=86_400_000)]
Share = typing.Annotated[float, pydantic.Field(ge=0, le=1)]
Count = typing.Annotated[int, pydantic.Field(gt=0, le=1_000_000)]
# The number of a ticket or state, 0 before the first one.
Number = typing.Annotated[int, pydantic.Field(ge=0, le=1_000_000)]
Rate = typing.Annotated[float, pydantic.Field(ge=0, le=1e12)]


@STRICT
class ServiceDocument(typing_extensions.TypedDict):
    """Describe a service."""

    idempotent: bool
    default_rank: Name
    deadline_max_ms: Ms
    service_time_ms: Ms
    body_max_bytes: Count
    queue_max: Count


@STRICT
class DomainDocument(typing_extensions.TypedDict):
    """Describe a failure domain."""

    region: Name
    entries_max: Count


@STRICT
class RankDocument(typing_extensions.TypedDict):
    """Describe a rank; the lowest ``order`` is served first."""

    order: typing.Annotated[int, pydantic.Field(ge=0, le=99)]
    worth: Rate
    floor_share: Share
    target_ms: Ms


@STRICT
class UpstreamDocument(typing_extensions.TypedDict):
    """Describe an upstream of a service in a failure domain."""

    address: Address
    slots: Count
    connections_max: Count


@STRICT
class PlaceDocument(typing_extensions.TypedDict):
    """Hold all upstreams of a service in a failure domain, by name."""

    upstreams: dict[Name, UpstreamDocument]


@STRICT
class UpstreamDrainDocument(typing_extensions.TypedDict):
    """Drain an upstream."""

    kind: typing.Literal['upstream']
    upstream: Name


@STRICT
class DomainDrainDocument(typing_extensions.TypedDict):
    """Drain a failure domain."""

    kind: typing.Literal['domain']
    domain: Name


@STRICT
class RegionDrainDocument(typing_extensions.TypedDict):
    """Drain a region."""

    kind: typing.Literal['region']
    region: Name


DrainDocument = typing.Annotated[
    UpstreamDrainDocument | DomainDrainDocument | RegionDrainDocument,
    pydantic.Field(discriminator='kind'),
]


@STRICT
class ShiftCapDocument(typing_extensions.TypedDict):
    """Cap the requests shifted between two regions."""

    kind: typing.Literal['shift']
    from_region: Name
    to_region: Name
    requests_per_s: Rate


@STRICT
class RegionLimitDocument(typing_extensions.TypedDict):
    """Limit a service's requests in flight in a region."""

    kind: typing.Literal['region']
    region: Name
    service: Name
    in_flight: Count


@STRICT
class LinkBudgetDocument(typing_extensions.TypedDict):
    """Limit the bytes that shifts put on a link."""

    kind: typing.Literal['link']
    from_region: Name
    to_region: Name
    bytes_per_s: Rate


CapDocument = typing.Annotated[
    ShiftCapDocument | RegionLimitDocument | LinkBudgetDocument,
    pydantic.Field(discriminator='kind'),
]


@STRICT
class BlockDocument(typing_extensions.TypedDict):
    """Assign a block of client addresses to its nearest failure domain."""

    domain: Name


class Sections(typing_extensions.TypedDict, total=False):
    """Hold items by section and name, each in full; null removes one."""

    services: dict[Name, ServiceDocument | None]
    domains: dict[Name, DomainDocument | None]
    ranks: dict[Name, RankDocument | None]
    places: dict[PlaceName, PlaceDocument | None]
    drains: dict[Name, DrainDocument | None]
    caps: dict[Name, CapDocument | None]
    blocks: dict[str, BlockDocument | None]


@STRICT
class TicketDocument(Sections, typing_extensions.TypedDict):
    """Hold a numbered set of changes to the state in force."""

    number: Count
    operator: typing.Annotated[str, pydantic.Field(min_length=1)]
    note: typing_extensions.NotRequired[str]


@STRICT
class NoteDocument(typing_extensions.TypedDict):
    """Record who filed a recent ticket, and when."""

    number: Number
    digest: str
    operator: str
    filed_ms: float


@STRICT
class StateDocument(Sections, typing_extensions.TypedDict):
    """Hold the whole state in force."""

    format: Number
    number: Number
    history: list[NoteDocument]
