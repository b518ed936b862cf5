"""Answers that break off: at each byte, by a close or by a reset."""

import socket
import struct

# Resets the connection when it is closed.
LINGER = struct.pack('ii', 1, 0)
ENDS = ('close', 'reset')


def offsets(data):
    """Return every length at which an answer can be cut, but for its end."""
    return range(1, len(data))


async def send_part(stream, data, end):
    """Send an answer's first bytes and end the connection."""
    await stream.send_all(data)
    if end == 'reset':
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
    await stream.aclose()
