"""Write and read objects of the store the way it keeps them.

An object has a kind and a name; its revision counts the changes of all
objects together.  The state is an object, and so are shards of bindings and
the VMs that the platform lists.
"""

import dataclasses
import typing

import msgspec

OBJECTS_PATH = '/objects'
VMS_KIND = 'vms'


class MetadataDocument(typing.TypedDict):
    """Hold an object's name and the revision of its last change."""

    name: typing.NotRequired[str]
    rev: int


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectDocument:
    """Hold an object as the store answers it.

    msgspec keeps a value as it was sent in data classes only.
    """

    metadata: MetadataDocument
    spec: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class EventDocument:
    """Hold one change of an object."""

    object: ObjectDocument
    deleted: bool = False


class EventsDocument(typing.TypedDict):
    """Hold the changes that end a watch, and where to go on."""

    events: list[EventDocument]
    current_rev: int


class PageDocument(typing.TypedDict):
    """Hold a page of a kind's objects."""

    items: list[ObjectDocument]
    has_more: typing.NotRequired[bool]
    current_rev: int


def kind_of(name: str) -> str:
    """Return the kind of an object, by its name.

    >>> kind_of('state'), kind_of('keys-12')
    ('state', 'keys')
    """
    return name.partition('-')[0]


def path(name: str) -> str:
    """Return where an object is read and changed.

    >>> path('keys-12')
    '/objects/keys/keys-12'
    """
    return f'{OBJECTS_PATH}/{kind_of(name)}/{name}'


def kind_path(name: str) -> str:
    """Return where objects of a name's kind are created and watched."""
    return f'{OBJECTS_PATH}/{kind_of(name)}'


def page_path(name: str, after: str) -> str:
    """Return where objects of a name's kind are listed, after a name.

    >>> page_path('vms', ''), page_path('vms', 'e7')
    ('/objects/vms', '/objects/vms?after=e7')
    """
    query = f'?after={after}' if after else ''
    return kind_path(name) + query


def watch_path(name: str, revision: int, wait_ms: int) -> str:
    """Return where changes after a revision are waited for."""
    return f'{kind_path(name)}?watch={revision}&wait_ms={wait_ms}'


def body(name: str, value: bytes, revision: int | None) -> bytes:
    """Return an object to write, at the revision that it must be at."""
    metadata: dict[str, str | int] = {'name': name}
    if revision is not None:
        metadata['rev'] = revision
    document = {'metadata': metadata, 'spec': msgspec.Raw(value)}
    return msgspec.json.encode(document)


def read(data: bytes) -> ObjectDocument:
    """Return an object; raises ``msgspec.MsgspecError`` if it is none."""
    return msgspec.json.decode(data, type=ObjectDocument)


def last_event(data: bytes, name: str) -> EventDocument | None:
    """Return the last change of an object among those of its kind.

    Raises ``msgspec.MsgspecError`` if they can't be read.
    """
    document = msgspec.json.decode(data, type=EventsDocument)
    own = (
        event
        for event in reversed(document['events'])
        if event.object.metadata.get('name') == name
    )
    return next(own, None)


def read_page(data: bytes) -> PageDocument:
    """Return a page; raises ``msgspec.MsgspecError`` if it is none."""
    return msgspec.json.decode(data, type=PageDocument)
