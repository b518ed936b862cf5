"""Describe the links for a dump."""

import typing

from zinnialead_daemon.components.peers import models


class LinkDump(typing.TypedDict):
    """Show one link."""

    address: str
    connected: bool
    waiting: int


class PeersDump(typing.TypedDict):
    """Show the links and count the accepted connections."""

    address: str
    accepted: int
    links: dict[str, LinkDump]


def dump(peers: models.Peers) -> PeersDump:
    """Return the peers' part of the state dump."""
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
