"""Dump the state of the upstreams' connection pools."""

import typing

from zinnialead_daemon.components.upstreams import models


class PoolsDump(typing.TypedDict):
    """Count the attempts in flight and the connections per address."""

    attempts: int
    connections: dict[str, int]


def dump(pools: models.Pools) -> PoolsDump:
    """Return the pools' section of the state dump."""
    return PoolsDump(
        attempts=len(pools.attempts),
        connections={
            address: len(pool.connections)
            for address, pool in pools.by_address.items()
        },
    )
