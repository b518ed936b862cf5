"""Parse and format addresses of the form ``IP:port``."""

import re
import reprlib
import typing

PORT = re.compile('[0-9]{1,5}')
PORT_MAX = 65_535


class HostPort(typing.NamedTuple):
    """Hold an IP address and a port."""

    host: str
    port: int


def parse(address: str) -> HostPort:
    """Return the host and port of an address; ValueError if malformed.

    >>> parse('[::1]:7000')
    HostPort(host='::1', port=7000)
    """
    host, _, port_text = address.rpartition(':')
    if not host or not PORT.fullmatch(port_text):
        raise ValueError(f'{reprlib.repr(address)} has no host or port')
    port = int(port_text)
    if port > PORT_MAX:
        raise ValueError(f'port {port} is out of range')
    return HostPort(host.strip('[]'), port)


def format_address(host: str, port: int) -> str:
    """Return the address of a host and port.

    >>> format_address('::1', 7000)
    '[::1]:7000'
    """
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
