"""Load settings from a file, environment variables and flags."""

from collections import abc
import functools
import pathlib
import typing

import expression
import pydantic

from zinnialead_config import problems
from zinnialead_config.settings import const
from zinnialead_config.settings import models
from zinnialead_config import validation

Overrides = dict[str, str]

# Fields that environment variables and flags may override.
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
def _object_adapter() -> 'pydantic.TypeAdapter[dict[str, typing.Any]]':
    return pydantic.TypeAdapter(dict[str, typing.Any])


@functools.cache
def _settings_adapter() -> 'pydantic.TypeAdapter[models.Settings]':
    return pydantic.TypeAdapter(models.Settings)


def load(
    path: pathlib.Path,
    environment: abc.Mapping[str, str],
    flags: abc.Mapping[str, str | None] | None = None,
) -> expression.Result[models.Settings, problems.Problems]:
    """Load the settings from the file at ``path``.

    Flags override environment variables, which override the file.  Each
    problem names the file and the field; unknown fields are problems too.
    """
    return validation.read_text(path).bind(
        lambda text: parse(text, str(path), environment, flags)
    )


def parse(
    text: str,
    file: str,
    environment: abc.Mapping[str, str],
    flags: abc.Mapping[str, str | None] | None = None,
) -> expression.Result[models.Settings, problems.Problems]:
    """Parse and validate the text of a settings file, with overrides."""
    return validation.parse(text, file, _object_adapter()).bind(
        lambda raw: validation.check(
            raw | _overrides(environment, flags or {}),
            file,
            _settings_adapter(),
        )
    )


def _overrides(
    environment: abc.Mapping[str, str],
    flags: abc.Mapping[str, str | None],
) -> Overrides:
    overrides = {}
    for name in OVERRIDABLE:
        variable = const.ENVIRONMENT_PREFIX + name.upper()
        value = flags.get(name) or environment.get(variable)
        if value:
            overrides[name] = value
    return overrides
