"""Describe the store's client for a dump."""

import typing

from zinnialead_daemon.components.store import models


class ClientDump(typing.TypedDict):
    """Show the store's addresses and count the open calls."""

    addresses: list[str]
    open_calls: int


def dump(client: models.Client) -> ClientDump:
    """Return the client's part of the state dump."""
    return ClientDump(
        addresses=list(client.addresses), open_calls=client.open_calls
    )
