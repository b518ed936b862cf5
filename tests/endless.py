"""Write responses that never end, as fast as they are read or slowly."""

import typing

import trio

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
DRIP_PERIOD_S = 0.05


class Endless(typing.NamedTuple):
    """Hold the start of a response and what follows it again and again."""

    start: bytes
    unit: bytes


ENDLESS = {
    'status line': Endless(b'HTTP/1.1 200 ', b'a' * 4_096),
    'rubbish': Endless(b'', b'rubbish ' * 512),
    'rubbish lines': Endless(b'', b'rubbish\r\n' * 512),
    'rubbish with blank lines': Endless(b'', b'rubbish\r\n\r\n' * 512),
    'blank lines': Endless(b'', b'\r\n' * 2_048),
    'zeros': Endless(b'', bytes(4_096)),
    'header': Endless(b'HTTP/1.1 200 OK\r\nA: ', b'a' * 4_096),
    'headers': Endless(b'HTTP/1.1 200 OK\r\n', b'A: b\r\n' * 512),
    'long body': Endless(
        b'HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n',
        b'a' * 65_536,
    ),
    'body without length': Endless(b'HTTP/1.1 200 OK\r\n\r\n', b'a' * 65_536),
    'old body': Endless(b'HTTP/1.0 200 OK\r\n\r\n', b'a' * 65_536),
    'chunks': Endless(CHUNKED, b'1000\r\n' + b'a' * 4_096 + b'\r\n'),
    'one chunk': Endless(CHUNKED + b'ffffffffff\r\n', b'a' * 65_536),
    'tiny chunks': Endless(CHUNKED, b'1\r\na\r\n' * 512),
    'small chunks': Endless(CHUNKED, b'6\r\nabcdef\r\n' * 512),
    'chunk extension': Endless(CHUNKED + b'5;', b'a' * 4_096),
    'chunk extensions': Endless(CHUNKED, b'1;' + b'a' * 999 + b'\r\na\r\n'),
    'trailer': Endless(CHUNKED + b'0\r\nA: ', b'a' * 4_096),
    'trailers': Endless(CHUNKED + b'0\r\n', b'A: b\r\n' * 512),
    'interim responses': Endless(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 512),
    'interim responses with headers': Endless(
        b'', b'HTTP/1.1 103 Early Hints\r\n' + b'A: b\r\n' * 99 + b'\r\n'
    ),
}
# Their number is not limited, as they are no shorter than usual ones.
SHORT_CHUNKS = Endless(CHUNKED, (b'50\r\n' + b'a' * 80 + b'\r\n') * 64)


async def write(stream, endless, drip=False):
    """Write a response until the reader closes its connection.

    Returns how many times its unit was written.
    """
    units = 0
    try:
        await stream.send_all(endless.start)
        while drip:
            for byte in endless.unit:
                await stream.send_all(bytes([byte]))
                await trio.sleep(DRIP_PERIOD_S)
        while True:
            await stream.send_all(endless.unit)
            units += 1
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return units
