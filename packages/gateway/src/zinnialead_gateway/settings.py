"""Define the settings of an entry's process."""

import typing

from zinnialead_core.gateway import world


class Settings(typing.NamedTuple):
    """Hold validated settings; addresses are of the form ip:port.

    ``snapshot_binds`` accept other entries' snapshot requests,
    ``connections_max`` limits callers' connections, and ``memory_bytes_max``
    is the memory that the platform grants the process.
    """

    node: world.NodeRow
    front_bind: str
    ready_bind: str
    directory_bind: str
    peers_bind: str
    snapshot_binds: tuple[str, ...]
    metrics_bind: str
    store_address: str
    connections_max: int
    memory_bytes_max: int
