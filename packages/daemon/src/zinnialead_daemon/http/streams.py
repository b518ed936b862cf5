"""Count and limit what is received on each connection to a server.

The classes implement the interfaces of httpcore's network back ends.
"""

from collections import abc
import dataclasses
import typing

import h11
import httpcore
import trio

from zinnialead_daemon.http import const


# Beginning of h11's error for a body that ends with its connection.
CLOSED_TEXT = 'peer closed connection'


class EndlessError(httpcore.RemoteProtocolError):
    """Signal an answer that exceeds a limit."""


@dataclasses.dataclass(slots=True, eq=False)
class Stream(httpcore.AsyncNetworkStream):
    """Wrap a connection of httpcore.

    ``answer_count`` is the number of answers received on it. A connection
    that ``is_spent`` is closed in place of being used again. After a request
    ``bytes_max`` are received at most, and ``body_bytes_max`` for a body.
    """

    stream: httpcore.AsyncNetworkStream
    bytes_max: int
    body_bytes_max: int = 0
    received_bytes: int = 0
    answer_count: int = 0
    is_spent: bool = False

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> bytes:
        """Return the next bytes, none at the end of the connection.

        Heads are read in small pieces, between which other tasks run.
        """
        limit_bytes = self.bytes_max + self.body_bytes_max
        if self.received_bytes > limit_bytes:
            raise EndlessError(f'an answer of over {limit_bytes} bytes')
        if not self.body_bytes_max:
            max_bytes = min(max_bytes, const.HEAD_READ_BYTES)
        data = await self.stream.read(max_bytes, timeout)
        self.received_bytes += len(data)
        return data

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> None:
        """Send bytes of a request."""
        self.received_bytes = self.body_bytes_max = 0
        await self.stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self.stream.aclose()

    def get_extra_info(self, info: str) -> typing.Any:  # noqa: ANN401
        """Return a property; httpcore closes what is readable while idle."""
        if info == 'is_readable' and self.is_spent:
            return True
        return self.stream.get_extra_info(info)


def describe(error: Exception) -> str:
    """Return an error's text without most of what the parser quotes."""
    return f'{type(error).__name__}: {str(error)[: const.ERROR_TEXT_MAX]}'


def is_faulty(error: Exception) -> bool:
    """Return whether an error shows an answer that is no HTTP, or too long.

    An answer that ends with its connection is neither.
    """
    if isinstance(error, EndlessError):
        return True
    # httpcore's errors hold those of h11, but not as their cause.
    is_parser_error = any(
        isinstance(argument, h11.RemoteProtocolError)
        for argument in error.args
    )
    return is_parser_error and not str(error).startswith(CLOSED_TEXT)


async def body_parts(
    response: httpcore.Response, bytes_max: int
) -> abc.AsyncGenerator[bytes]:
    """Yield the parts of a body; other tasks run between them.

    Raises EndlessError if it is longer than ``bytes_max`` or has too many
    small parts.
    """
    response.extensions['network_stream'].body_bytes_max = bytes_max
    body_bytes = part_count = 0
    async for part in response.aiter_stream():
        body_bytes += len(part)
        part_count += 1
        large_parts_max = body_bytes // const.PART_MIN_BYTES
        if part_count > const.SMALL_PARTS_MAX + large_parts_max:
            raise EndlessError('an answer of too many small parts')
        if part_count % const.PARTS_PER_TURN == 0:
            await trio.lowlevel.checkpoint()
        yield part


class Backend(httpcore.AsyncNetworkBackend):
    """Open connections that receive ``bytes_max`` after each request."""

    def __init__(
        self, bytes_max: int = const.RESPONSE_HEADS_MAX_BYTES
    ) -> None:
        self._backend = httpcore.TrioBackend()
        self._bytes_max = bytes_max

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
        return Stream(stream, self._bytes_max)
