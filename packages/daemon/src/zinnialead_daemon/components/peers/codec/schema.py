"""Load the schema of the peers' messages."""

import pathlib
import typing

import capnp

capnp.remove_import_hook()

_PATH = pathlib.Path(__file__).with_name('peers.capnp')
_LOADED: typing.Any = capnp.load(str(_PATH))

Envelope: typing.Any = _LOADED.Envelope
Builder = typing.Any
"""A struct of the schema as pycapnp writes it."""
Fields = dict[str, typing.Any]
Reader = typing.Any
"""A struct of the schema as pycapnp reads it."""


def fill(builder: Builder, fields: Fields) -> None:
    """Write fields one by one, which pycapnp does faster than all at once.

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
