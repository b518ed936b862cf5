"""Build small worlds, rows and inputs for the gateway's tests."""

from zinnialead_core import gateway
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import models as routes
from zinnialead_core.gateway.upstreams import models as upstreams
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids

REGIONS = {'guj-a': 'guj', 'guj-b': 'guj', 'tn-a': 'tn', 'tn-b': 'tn'}
BOUNDS = world_module.Bounds(0.2, 133.0, 10_000.0, 0.15, 6_000.0, 2_000.0)
LIMITS = routes.LimitsRow(16_384, 1_000_000, 3_000.0, 15_000.0)


def node(entry='entry-1', domain='guj-a'):
    return gateway.NodeRow(
        ids.EntryRef(entry, 1),
        domain,
        REGIONS[domain],
        REGIONS,
        f'127.0.0.1:{8000 + sum(map(ord, entry)) % 1000}',
        '127.0.0.1:7200',
        BOUNDS,
    )


def route(name='lookup', **fields):
    row = routes.RouteRow(
        name=name,
        host='desk.example',
        prefix=f'/{name}/',
        idempotent=True,
        timeout_ms=3_000.0,
        target_ms=500.0,
        rank=1,
        parts=(routes.WeightedServiceRow('specdesk', 1.0),),
        attempts_max=2,
        by_object=True,
        home_regions=frozenset(),
    )
    return row._replace(**fields)


def configuration(version=1, *rows):
    rows_by_name = {row.name: row for row in rows or (route(),)}
    services = {
        part.service: routes.ServiceRow(part.service, 800, 3_000.0, 4.3)
        for row in rows_by_name.values()
        for part in row.parts
    }
    return routes.new_configuration(version, rows_by_name, services, LIMITS)


def upstream(name, domain='guj-a', **fields):
    row = upstreams.UpstreamRow(
        upstream=name,
        service='specdesk',
        address=f'127.0.0.1:{9000 + sum(map(ord, name)) % 900}',
        domain=domain,
        slots=5,
        leaving=False,
        cold_ms=0.0,
        born_ms=1,
        revision=1,
    )
    return row._replace(**fields)


def entry_row(name, domain='guj-a', revision=1):
    return entries.EntryRow(
        name, 1, domain, REGIONS[domain], f'{name}:1', f'{name}:2', revision
    )


def feed(world, now_ms, *inputs):
    return list(gateway.tick(world, now_ms, inputs))


def serving_world(*rows, upstreams_=None, config=None):
    """Return a world with an active configuration and upstreams."""
    world = gateway.new_world(node(), seed=1)
    config = config or configuration(1, *rows)
    upstream_rows = upstreams_ or [upstream('u-1'), upstream('u-2', 'guj-b')]
    feed(
        world,
        0.0,
        inp.ConfigurationRead(config, 'test'),
        inp.UpstreamsListed(tuple(upstream_rows), 1),
    )
    return world


def arrival(number=1, path='/lookup/1', key='7', deadline_ms=3_000.0):
    return inp.RequestArrived(
        number, f'r-{number}', 'desk.example', path, key, deadline_ms, 0
    )


def of_type(outputs, kind):
    return [x for x in outputs if isinstance(x, kind)]


def single_dispatch(outputs):
    (dispatch,) = of_type(outputs, out.Dispatch)
    return dispatch


def attempt_done(dispatch, outcome, **fields):
    return inp.AttemptDone(
        dispatch.request_id, dispatch.attempt, outcome, 100.0, **fields
    )


def store_done(world, kind, result):
    """Return the result of the current store call for a kind."""
    return inp.StoreDone(kind, result, world.store.watches[kind].call_number)
