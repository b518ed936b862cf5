"""Dump the state of the callers' front end."""

import typing

from zinnialead_daemon.components.front import models


class FrontDump(typing.TypedDict):
    """Count the open exchanges and those that wait for a body."""

    exchanges: int
    exchanges_max: int
    without_body: int


def dump(front: models.Front) -> FrontDump:
    """Return the front end's section of the state dump."""
    without_body = [
        exchange
        for exchange in front.exchanges.values()
        if not exchange.body_ready.is_set()
    ]
    return FrontDump(
        exchanges=len(front.exchanges),
        exchanges_max=front.bounds.exchanges_max,
        without_body=len(without_body),
    )
