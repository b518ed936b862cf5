"""Encode and decode the objects of the platform's store.

An object has a kind and a name.  Its revision comes from one counter, which
goes up with each change of any object.  The state in force, each shard of
key bindings and each VM that the platform lists is an object.
"""

import dataclasses
import typing

import msgspec

# Each answer has the era of the store; it rises when the store comes back
# from an older copy, which gives revisions out again.
HEADER_ERA = b'objects-era'
OBJECTS_PATH = '/objects'
VMS_KIND = 'vms'


class MetadataDocument(typing.TypedDict):
    """Hold an object's name and the revision of its last change."""

    name: typing.NotRequired[str]
    rev: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectDocument:
    """Hold an object as the store returns it.

    It is a data class because msgspec keeps values in their encoded form
    in data classes only.
    """

    metadata: MetadataDocument
    spec: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class EventDocument:
    """Hold one change of an object."""

    object: ObjectDocument
    deleted: bool = False


class EventsDocument(typing.TypedDict):
    """Hold the changes that end a watch, and the revision to resume from."""

    events: list[EventDocument]
    current_rev: int


class PageDocument(typing.TypedDict):
    """Hold one page of the objects of a kind."""

    items: list[ObjectDocument]
    has_more: typing.NotRequired[bool]
    current_rev: int


def kind_of(name: str) -> str:
    """Return the kind of an object, which is the prefix of its name.

    >>> kind_of('state'), kind_of('keys-12')
    ('state', 'keys')
    """
    return name.partition('-')[0]


def path(name: str) -> str:
    """Return the URL path to read and change an object.

    >>> path('keys-12')
    '/objects/keys/keys-12'
    """
    return f'{OBJECTS_PATH}/{kind_of(name)}/{name}'


def kind_path(name: str) -> str:
    """Return the URL path to create, list and watch a name's kind."""
    return f'{OBJECTS_PATH}/{kind_of(name)}'


def page_path(name: str, after: str) -> str:
    """Return the URL path to list a name's kind, starting after ``after``.

    >>> page_path('vms', ''), page_path('vms', 'e7')
    ('/objects/vms', '/objects/vms?after=e7')
    """
    query = f'?after={after}' if after else ''
    return kind_path(name) + query


def watch_path(name: str, revision: int, wait_ms: int) -> str:
    """Return the URL path to wait for changes after a revision."""
    return f'{kind_path(name)}?watch={revision}&wait_ms={wait_ms}'


def body(name: str, value: bytes, revision: int | None) -> bytes:
    """Encode an object for a write that is conditional on its revision."""
    metadata: dict[str, str | int] = {'name': name}
    if revision is not None:
        metadata['rev'] = revision
    document = {'metadata': metadata, 'spec': msgspec.Raw(value)}
    return msgspec.json.encode(document)


def read(data: bytes) -> ObjectDocument:
    """Decode an object; raises ``msgspec.MsgspecError`` if invalid."""
    return msgspec.json.decode(data, type=ObjectDocument)


def last_event(data: bytes, name: str) -> EventDocument | None:
    """Return the last change of one object from the answer of a watch.

    Raises ``msgspec.MsgspecError`` if the answer is invalid.
    """
    document = msgspec.json.decode(data, type=EventsDocument)
    object_events = (
        event
        for event in reversed(document['events'])
        if event.object.metadata.get('name') == name
    )
    return next(object_events, None)


def read_page(data: bytes) -> PageDocument:
    """Decode a page; raises ``msgspec.MsgspecError`` if invalid."""
    return msgspec.json.decode(data, type=PageDocument)
