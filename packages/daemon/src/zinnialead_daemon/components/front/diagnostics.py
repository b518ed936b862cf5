"""Describe the callers' front for a dump."""

import typing

from zinnialead_daemon.components.front import models


class FrontDump(typing.TypedDict):
    """Count the exchanges in hand."""

    exchanges: int


def dump(front: models.Front) -> FrontDump:
    """Return the front's part of the state dump."""
    return FrontDump(exchanges=len(front.exchanges))
