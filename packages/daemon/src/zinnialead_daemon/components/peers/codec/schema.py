"""Load the schema of the peers' messages."""

import pathlib
import typing

import capnp

capnp.remove_import_hook()

_PATH = pathlib.Path(__file__).with_name('peers.capnp')
_LOADED: typing.Any = capnp.load(str(_PATH))

Envelope: typing.Any = _LOADED.Envelope
Fields = dict[str, typing.Any]
Reader = typing.Any
"""A struct of the schema as pycapnp reads it."""
