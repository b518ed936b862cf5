"""Define the settings of one entry."""

import typing

import pydantic

from zinnialead_config.settings import const
from zinnialead_core.components.requests import const as request_const

Port = typing.Annotated[int, pydantic.Field(ge=0, le=65_535)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
Address = typing.Annotated[
    str,
    pydantic.Field(
        pattern=r'^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-f:]+\]):[0-9]{1,5}$'
    ),
]
StopGrace = typing.Annotated[
    float, pydantic.Field(ge=const.STOP_GRACE_MIN_MS, allow_inf_nan=False)
]
Secret = typing.Annotated[
    str, pydantic.Field(min_length=const.TOKEN_MIN_CHARS)
]


class PeerKey(typing.NamedTuple):
    """Hold a key that entries sign and verify their messages with."""

    key_id: typing.Annotated[int, pydantic.Field(ge=0, le=255)]
    secret: Secret


class Tls(typing.NamedTuple):
    """Name the certificate and key files for HTTPS."""

    certificate_file: str
    key_file: str


class Seed(typing.NamedTuple):
    """Name an entry to join through while the store is unavailable."""

    entry: Name
    domain: Name
    address: Address


class Bounds(typing.NamedTuple):
    """Limit the connections, exchanges and headers of one entry."""

    connections_max: pydantic.PositiveInt = const.CONNECTIONS_MAX
    exchanges_max: pydantic.PositiveInt = const.EXCHANGES_MAX
    headers_max: pydantic.PositiveInt = const.HEADERS_MAX
    header_max_bytes: pydantic.PositiveInt = const.HEADER_MAX_BYTES


class Statsd(typing.NamedTuple):
    """Address the statsd server and set how often metrics are sent."""

    host: str
    port: Port = const.STATSD_PORT
    period_ms: pydantic.PositiveFloat = const.STATSD_PERIOD_MS


class Settings(typing.NamedTuple):
    """Hold the settings of one entry.

    ``callers_bind``, ``operators_bind`` and ``peers_bind`` are ``IP:port``;
    ``callers_address`` and ``peers_address`` are the advertised addresses,
    where they differ from the bind.  The first of ``peer_keys`` signs
    messages; all of them verify.  ``stop_grace_ms`` is how long the process
    may run once it is asked to stop.
    """

    entry: Name
    domain: Name
    region: Name
    callers_bind: Address
    operators_bind: Address
    peers_bind: Address
    operators_token: Secret
    peer_keys: typing.Annotated[
        tuple[PeerKey, ...], pydantic.Field(min_length=1)
    ]
    store_addresses: tuple[Address, ...] = ()
    seeds: tuple[Seed, ...] = ()
    callers_address: Address | None = None
    peers_address: Address | None = None
    tls: Tls | None = None
    bounds: Bounds = Bounds()
    statsd: Statsd | None = None
    stop_grace_ms: StopGrace = request_const.STOP_GRACE_MS
