"""Describe the upstreams' pools for a dump."""

import typing

from zinnialead_daemon.components.upstreams import models


class PoolsDump(typing.TypedDict):
    """Count the attempts in flight, and the connections by address."""

    attempts: int
    connections: dict[str, int]


def dump(pools: models.Pools) -> PoolsDump:
    """Return the pools' part of the state dump."""
    return PoolsDump(
        attempts=len(pools.attempts),
        connections={
            address: len(pool.connections)
            for address, pool in pools.by_address.items()
        },
    )
