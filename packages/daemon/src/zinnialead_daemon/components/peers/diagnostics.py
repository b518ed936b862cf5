"""Dump the state of the connections to peers."""

import typing

from zinnialead_daemon.components.peers import models


class LinkDump(typing.TypedDict):
    """Define the dump of one link."""

    address: str
    connected: bool
    waiting: int


class PeersDump(typing.TypedDict):
    """Define the peers' section of the state dump."""

    address: str
    accepted: int
    links: dict[str, LinkDump]


def dump(peers: models.Peers) -> PeersDump:
    """Return the peers' section of the state dump."""
    return PeersDump(
        address=peers.address,
        accepted=peers.accepted,
        links={
            str(link.entry): LinkDump(
                address=link.address,
                connected=link.connected,
                waiting=len(link.outbox),
            )
            for link in peers.links.values()
        },
    )
