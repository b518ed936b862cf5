"""Parse and format addresses of the form ``IP:port``."""

import typing


class HostPort(typing.NamedTuple):
    """Hold an IP address and a port."""

    host: str
    port: int


def parse(address: str) -> HostPort:
    """Return the host and port of an address.

    >>> parse('[::1]:7000')
    HostPort(host='::1', port=7000)
    """
    host, _, port = address.rpartition(':')
    return HostPort(host.strip('[]'), int(port))


def format_address(host: str, port: int) -> str:
    """Return the address of a host and port.

    >>> format_address('::1', 7000)
    '[::1]:7000'
    """
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
