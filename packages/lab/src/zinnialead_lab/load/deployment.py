"""Set up the entries and upstreams of a scenario."""

import collections
from collections import abc
import random

from zinnialead_core import gateway
from zinnialead_core.gateway.entries import models as entry_models
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway.upstreams import models as upstream_models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids
from zinnialead_lab.load import models

HOST = 'load.example'
LOCAL_DELAY_MS = 0.5
REMOTE_DELAY_MS = 35.0
LIMITS = routes.LimitsRow(16_384, 1_000_000, 3_000.0, 15_000.0)
BOUNDS = world_module.Bounds(0.2, 400.0, 10_000.0, 0.15, 6_000.0, 2_000.0)
ATTEMPTS_MAX = 2


def new_world(scenario: models.Scenario) -> models.World:
    """Return a scenario's entries, each with the configuration in force."""
    regions = sorted({x for row in scenario.services for x in row.upstreams})
    entries = {
        f'entry-{region}-{number}': region
        for region in regions
        for number in range(scenario.entries_per_region)
    }
    upstreams = dict(_upstreams(scenario))
    registered = inp.UpstreamsListed(
        tuple(_registration(name, row) for name, row in upstreams.items()), 1
    )
    listed = inp.EntriesListed(
        tuple(_entry_row(name, region) for name, region in entries.items())
    )
    read = inp.ConfigurationRead(_configuration(scenario), 'load')
    worlds: dict[str, gateway.World] = {}
    for number, (name, region) in enumerate(entries.items()):
        core = gateway.new_world(
            _node(name, region, regions), scenario.seed * 1_000 + number
        )
        for _ in gateway.tick(core, 0.0, (read, listed, registered)):
            pass
        worlds[name] = core
    return models.World(
        scenario,
        worlds,
        {
            region: tuple(x for x in entries if entries[x] == region)
            for region in regions
        },
        upstreams,
        {},
        [],
        [],
        collections.Counter(),
        random.Random(scenario.seed),
    )


def entry_at(address: str) -> str:
    """Return the name of the entry at an address."""
    return address.partition(':')[0]


def delay_ms(world: models.World, region: str, upstream: str) -> float:
    """Return the time one way between a region and an upstream."""
    is_local = world.upstreams[upstream].region == region
    return LOCAL_DELAY_MS if is_local else REMOTE_DELAY_MS


def _upstreams(
    scenario: models.Scenario,
) -> abc.Iterator[tuple[str, models.UpstreamState]]:
    for service in scenario.services:
        for region, count in service.upstreams.items():
            for number in range(count):
                name = f'{service.service}-{region}-{number}'
                yield (
                    name,
                    models.UpstreamState(
                        service, region, {}, {}, collections.OrderedDict()
                    ),
                )


def _registration(
    name: str, row: models.UpstreamState
) -> upstream_models.UpstreamRow:
    return upstream_models.UpstreamRow(
        upstream=ids.UpstreamId(name),
        service=ids.ServiceId(row.service.service),
        address=f'{name}:1',
        domain=ids.DomainId(row.region),
        slots=row.service.slots,
        leaving=False,
        cold_ms=0.0,
        born_ms=1,
        revision=1,
    )


def _entry_row(name: str, region: str) -> entry_models.EntryRow:
    return entry_models.EntryRow(
        ids.EntryId(name),
        1,
        ids.DomainId(region),
        ids.RegionId(region),
        f'{name}:1',
        f'{name}:2',
        1,
    )


def _node(name: str, region: str, regions: list[str]) -> gateway.NodeRow:
    return gateway.NodeRow(
        ids.EntryRef(ids.EntryId(name), 1),
        ids.DomainId(region),
        ids.RegionId(region),
        {ids.DomainId(x): ids.RegionId(x) for x in regions},
        f'{name}:1',
        f'{name}:2',
        BOUNDS,
    )


def _configuration(scenario: models.Scenario) -> routes.Configuration:
    rows = {kind.name: _route(kind) for kind in scenario.kinds}
    services = {
        ids.ServiceId(row.service): routes.ServiceRow(
            ids.ServiceId(row.service), 800, 3_000.0, 4.0
        )
        for row in scenario.services
    }
    return routes.new_configuration(1, rows, services, LIMITS)


def _route(kind: models.KindRow) -> routes.RouteRow:
    part = routes.WeightedServiceRow(ids.ServiceId(kind.service), 1.0)
    return routes.RouteRow(
        name=kind.name,
        host=HOST,
        prefix=f'/{kind.name}/',
        idempotent=kind.idempotent,
        timeout_ms=kind.timeout_ms,
        target_ms=kind.target_ms,
        rank=kind.rank,
        parts=(part,),
        attempts_max=ATTEMPTS_MAX,
        by_object=True,
        home_regions=frozenset(),
    )
