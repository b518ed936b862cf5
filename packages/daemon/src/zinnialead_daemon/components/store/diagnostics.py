"""Dump the state of the store client."""

import typing

from zinnialead_daemon.components.store import models


class ClientDump(typing.TypedDict):
    """Define the store client's section of the state dump."""

    addresses: list[str]
    open_calls: int


def dump(client: models.Client) -> ClientDump:
    """Return the store client's section of the state dump."""
    return ClientDump(
        addresses=list(client.addresses), open_calls=client.open_calls
    )
