"""Load the schema of the messages between peers."""

import pathlib
import typing

import capnp

capnp.remove_import_hook()

_PATH = pathlib.Path(__file__).with_name('peers.capnp')
_LOADED: typing.Any = capnp.load(str(_PATH))

Envelope: typing.Any = _LOADED.Envelope
Builder = typing.Any
"""A pycapnp builder of a struct."""
Fields = dict[str, typing.Any]
Reader = typing.Any
"""A pycapnp reader of a struct."""


def fill(builder: Builder, fields: Fields) -> None:
    """Set fields one by one, which is faster in pycapnp than all at once.

    A dict is a struct; a list holds structs or plain values.
    """
    for name, value in fields.items():
        match value:
            case dict():
                fill(builder.init(name), value)
            case list():
                _fill_list(builder.init(name, len(value)), value)
            case _:
                setattr(builder, name, value)


def _fill_list(builder: Builder, values: list[typing.Any]) -> None:
    for index, value in enumerate(values):
        match value:
            case dict():
                fill(builder[index], value)
            case _:
                builder[index] = value
