"""Define the identifiers that the core's tables use as keys."""

import typing

EntryId = typing.NewType('EntryId', str)
DomainId = typing.NewType('DomainId', str)
RegionId = typing.NewType('RegionId', str)
ServiceId = typing.NewType('ServiceId', str)
UpstreamId = typing.NewType('UpstreamId', str)
RankId = typing.NewType('RankId', str)
RequestId = typing.NewType('RequestId', int)
Key = typing.NewType('Key', str)


class EntryRef(typing.NamedTuple):
    """Identify one run of an entry; a restart gives a new incarnation."""

    entry: EntryId
    incarnation: int


class AskId(typing.NamedTuple):
    """Identify one attempt of one request, uniquely within the fleet."""

    asker: EntryRef
    request_id: RequestId
    attempt: int
