"""Define the tables that the gateway's systems run over."""

import collections
import random
import typing

from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway.health_checks import models as health_checks
from zinnialead_core.gateway.placement import models as placement
from zinnialead_core.gateway.requests import models as requests
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway.store import models as store
from zinnialead_core.gateway import timers as gateway_timers
from zinnialead_core.gateway.upstreams import models as upstreams
from zinnialead_core import ids
from zinnialead_core import notices
from zinnialead_core import timer_table


class Bounds(typing.NamedTuple):
    """Hold the deployment's limits, which apply to all entries together.

    In ``retry_window_ms`` a service gets at most ``retry_share`` of its
    requests plus ``retry_extra`` as retries.  ``shift_share_max`` is the
    share of a region's requests that may move to another region in 2 s.
    ``grace_ms`` bounds a graceful stop, and ``directory_ttl_ms`` is how
    long callers may use the addresses that they looked up.
    """

    retry_share: float
    retry_extra: float
    retry_window_ms: float
    shift_share_max: float
    grace_ms: float
    directory_ttl_ms: float


class NodeRow(typing.NamedTuple):
    """Describe this entry, its location and its addresses.

    ``first_start`` is set on the first start of the whole deployment, when
    its upstreams register one after the other.  ``seeds`` are addresses of
    entries to query while the store is unavailable, and ``speed`` is this
    entry's processor time in s per second.  An upstream that stays silent
    for ``registration_ttl_ms`` loses its registration.
    """

    ref: ids.EntryRef
    domain: ids.DomainId
    region: ids.RegionId
    regions: dict[ids.DomainId, ids.RegionId]
    front_address: str
    peer_address: str
    bounds: Bounds
    first_start: bool = False
    seeds: tuple[str, ...] = ()
    speed: float = 1.0
    registration_ttl_ms: float = 4_500.0


class World(typing.NamedTuple):
    """Hold all tables of one entry."""

    node: NodeRow
    routes: routes.RouteTable
    upstreams: upstreams.UpstreamTable
    health_checks: health_checks.HealthCheckTable
    loads: dict[ids.UpstreamId, placement.LoadRow]
    pauses: notices.PauseTable
    placement: placement.PlacementTable
    requests: requests.RequestTable
    entries: entries.EntryTable
    store: store.StoreTable
    timers: timer_table.TimerTable[gateway_timers.Timer]
    counters: collections.Counter[str]
    random: random.Random


def new_world(node: NodeRow, seed: int) -> World:
    """Return empty tables for an entry."""
    return World(
        node=node,
        routes=routes.new_table(),
        upstreams=upstreams.new_table(),
        health_checks=health_checks.new_table(),
        loads={},
        pauses=notices.new_pauses('placement'),
        placement=placement.new_table(),
        requests=requests.new_table(),
        entries=entries.new_table(),
        store=store.new_table(),
        timers=timer_table.new_table(),
        counters=collections.Counter(),
        random=random.Random(seed),
    )
