"""Load settings from a file, the environment and flags."""

from collections import abc
import functools
import pathlib
import typing

import expression
import pydantic

from zinnialead_config import checked
from zinnialead_config import problems
from zinnialead_config.settings import const
from zinnialead_config.settings import models

Overrides = dict[str, str]

# What the environment and flags may set in place of the file.
OVERRIDABLE = (
    'entry',
    'domain',
    'region',
    'callers_bind',
    'operators_bind',
    'peers_bind',
    'callers_address',
    'peers_address',
)


@functools.cache
def _raw_adapter() -> 'pydantic.TypeAdapter[dict[str, typing.Any]]':
    return pydantic.TypeAdapter(dict[str, typing.Any])


@functools.cache
def _adapter() -> 'pydantic.TypeAdapter[models.Settings]':
    return pydantic.TypeAdapter(models.Settings)


def load(
    path: pathlib.Path,
    environment: abc.Mapping[str, str],
    flags: abc.Mapping[str, str | None] | None = None,
) -> expression.Result[models.Settings, problems.Problems]:
    """Return the settings of ``path``, with flags before environment.

    Every problem names the file and the field; unknown fields are refused.
    """
    return checked.read_text(path).bind(
        lambda text: parse(text, str(path), environment, flags)
    )


def parse(
    text: str,
    file: str,
    environment: abc.Mapping[str, str],
    flags: abc.Mapping[str, str | None] | None = None,
) -> expression.Result[models.Settings, problems.Problems]:
    """Return the settings of a text, checked."""
    return checked.parse(text, file, _raw_adapter()).bind(
        lambda raw: checked.check(
            raw | _overrides(environment, flags or {}), file, _adapter()
        )
    )


def _overrides(
    environment: abc.Mapping[str, str],
    flags: abc.Mapping[str, str | None],
) -> Overrides:
    found = {}
    for name in OVERRIDABLE:
        variable = const.ENVIRONMENT_PREFIX + name.upper()
        value = flags.get(name) or environment.get(variable)
        if value:
            found[name] = value
    return found
