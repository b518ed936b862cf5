"""Encode and decode the objects of the platform's store.

An object has a kind and a name.  Its revision comes from one counter, which
goes up with each change of any object.  The state in force, each shard of
key bindings and each VM that the platform lists is an object.
"""

from collections import abc
import dataclasses
import typing
import urllib.parse

import msgspec

import zinnialead_documents as documents

T = typing.TypeVar('T')

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


class Changes(typing.NamedTuple):
    """Hold the last change of an object, and where a watch continues.

    ``resume_rev`` is 0 if no object has changed.
    """

    last: EventDocument | None
    resume_rev: int


class PageDocument(typing.TypedDict):
    """Hold one page of the objects of a kind."""

    items: list[ObjectDocument]
    has_more: typing.NotRequired[bool]
    current_rev: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableDocument:
    """Stand in for an object of a page that can't be read.

    ``name`` is empty and ``rev`` 0 where they can't be read either.
    """

    name: str
    rev: int
    reason: str


Item = ObjectDocument | UnreadableDocument


class Page(typing.NamedTuple):
    """Hold the objects of a page, and the store's revision.

    ``next_after`` is the name from which a list continues, empty on the last
    page.
    """

    items: abc.Sequence[Item]
    next_after: str
    revision: int


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

    >>> page_path('vms', ''), page_path('vms', 'e 7')
    ('/objects/vms', '/objects/vms?after=e%207')
    """
    query = f'?after={urllib.parse.quote(after, safe="")}' if after else ''
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
    """Decode an object; ValueError if it is malformed.

    Its spec may be nested too deeply, as it stays encoded.
    """
    try:
        document: ObjectDocument = documents.decode(data, ObjectDocument)
    except documents.NestingError:
        parts = documents.split_object(data)
        metadata = documents.decode(
            parts.get('metadata', b''), MetadataDocument
        )
        spec = msgspec.Raw(parts.get('spec', b''))
        document = ObjectDocument(metadata, spec)
    return document


def read_changes(data: bytes, name: str) -> Changes:
    """Read the last change of one object from the answer of a watch.

    Changes that can't be read are passed over.  ValueError if more than
    single changes is malformed.
    """
    try:
        document = documents.decode(data, EventsDocument)
    except ValueError:
        parts = documents.split_object(data)
        encoded_events = documents.split_array(parts.get('events', b''))
        events = list(_iterate_events(encoded_events))
        count = len(encoded_events)
        current_rev = documents.decode(parts.get('current_rev', b''), int)
    else:
        events = document['events']
        count = len(events)
        current_rev = document['current_rev']
    object_events = (
        event
        for event in reversed(events)
        if event.object.metadata.get('name') == name
    )
    last = next(object_events, None)
    return Changes(last, current_rev if count else 0)


def _iterate_events(
    encoded_events: abc.Iterable[bytes],
) -> abc.Iterator[EventDocument]:
    for data in encoded_events:
        try:
            parts = documents.split_object(data)
            deleted = documents.decode(parts.get('deleted', b'false'), bool)
            yield EventDocument(read(parts.get('object', b'')), deleted)
        except ValueError:
            continue


def read_page(data: bytes) -> Page:
    """Decode a page; ValueError if more than single items is malformed."""
    items: abc.Sequence[Item]
    try:
        document = documents.decode(data, PageDocument)
    except ValueError:
        parts = documents.split_object(data)
        encoded_items = documents.split_array(parts.get('items', b''))
        items = list(map(_read_item, encoded_items))
        has_more = documents.decode(parts.get('has_more', b'false'), bool)
        revision = documents.decode(parts.get('current_rev', b''), int)
    else:
        items = document['items']
        has_more = document.get('has_more', False)
        revision = document['current_rev']
    next_after = _last_name(items) if has_more else ''
    return Page(items, next_after, revision)


def name_of(item: Item) -> str:
    """Return the name of an object, empty if it can't be read."""
    match item:
        case ObjectDocument(metadata):
            return metadata.get('name', '')
        case UnreadableDocument(name):
            return name


def _read_item(data: bytes) -> Item:
    try:
        return read(data)
    except ValueError as error:
        metadata = _split_or_empty(_split_or_empty(data).get('metadata', b''))
        name = _decode_or_none(metadata.get('name', b''), str)
        rev = _decode_or_none(metadata.get('rev', b''), int)
        return UnreadableDocument(name or '', rev or 0, str(error))


def _last_name(items: abc.Sequence[Item]) -> str:
    """Return the name from which a list continues; ValueError if none."""
    for name in filter(None, map(name_of, reversed(items))):
        return name
    raise ValueError('no item has a name from which to continue')


def _split_or_empty(data: bytes) -> dict[str, bytes]:
    try:
        return documents.split_object(data)
    except ValueError:
        return {}


def _decode_or_none(data: bytes, value_type: type[T]) -> T | None:
    try:
        value: T = documents.decode(data, value_type)
    except ValueError:
        return None
    return value
