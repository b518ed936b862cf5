"""Name the things that the core's tables are keyed by."""

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
    """Name one run of an entry: a restarted entry has a new incarnation."""

    entry: EntryId
    incarnation: int


class AskId(typing.NamedTuple):
    """Name one attempt of one request, unique over the whole fleet."""

    asker: EntryRef
    request_id: RequestId
    attempt: int
