"""Count the answers on each connection to an upstream.

The classes implement the interfaces of httpcore's network back ends.
"""

from collections import abc
import dataclasses
import typing

import httpcore


@dataclasses.dataclass(slots=True, eq=False)
class Stream(httpcore.AsyncNetworkStream):
    """Wrap a connection of httpcore.

    ``answer_count`` is the number of answers received on it. A connection
    that ``is_spent`` is closed in place of being used again.
    """

    stream: httpcore.AsyncNetworkStream
    answer_count: int = 0
    is_spent: bool = False

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> bytes:
        """Return the next bytes, none at the end of the connection."""
        return await self.stream.read(max_bytes, timeout)

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> None:
        """Send bytes."""
        await self.stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> typing.Any:  # noqa: ANN401
        """Return a property; httpcore closes what is readable while idle."""
        if info == 'is_readable' and self.is_spent:
            return True
        return self.stream.get_extra_info(info)


class Backend(httpcore.AsyncNetworkBackend):
    """Open connections whose answers are counted."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,  # noqa: ASYNC109
        local_address: str | None = None,
        socket_options: abc.Iterable[typing.Any] | None = None,
    ) -> Stream:
        """Open a connection; raises httpcore's errors."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return Stream(stream)
