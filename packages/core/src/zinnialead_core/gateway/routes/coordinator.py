"""Put configurations in force, and choose route and service."""

from collections import abc

from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_core.gateway.routes import models
from zinnialead_core.gateway import world as world_module
from zinnialead_core import ids


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Adopt configurations of a higher version; writes ``routes``."""
    for item in inputs:
        match item:
            case inp.ConfigurationRead(configuration, source):
                yield from _adopt(world, configuration, source)
            case inp.ConfigurationsListed(items):
                for read in items:
                    yield from _adopt(world, read.configuration, read.source)


def active_configuration(
    world: world_module.World,
) -> models.Configuration | None:
    """Return the configuration in force, None before the first."""
    return world.routes.active.get(models.ACTIVE)


def limits(world: world_module.World) -> models.LimitsRow:
    """Return what a caller may send now."""
    known = active_configuration(world)
    return known.limits if known else models.DEFAULT_LIMITS


def match_route(
    known: models.Configuration, host: str, path: str
) -> models.RouteRow | None:
    """Return the route with the longest prefix that begins ``path``."""
    for row in known.by_host.get(host, ()):
        if path.startswith(row.prefix):
            return row
    return None


def choose_service(
    world: world_module.World, route: models.RouteRow
) -> ids.ServiceId:
    """Return a route's service, in proportion to the weights.

    Smooth weighted round robin: each part earns its weight, the part with
    the most credit is chosen and pays the sum.
    """
    if len(route.parts) == 1:
        return route.parts[0].service
    credits = world.routes.credits
    total = 0.0
    best = route.parts[0].service
    most = float('-inf')
    for part in route.parts:
        total += part.weight
        key = (route.name, part.service)
        # A random start keeps entries from choosing in step.
        credit = credits.get(key, world.random.random() * part.weight)
        credits[key] = credit + part.weight
        if part.weight > 0 and credits[key] > most:
            best, most = part.service, credits[key]
    credits[(route.name, best)] -= total
    return best


def _adopt(
    world: world_module.World,
    configuration: models.Configuration,
    source: str,
) -> abc.Iterator[out.Output]:
    known = active_configuration(world)
    before = known.version if known else 0
    if configuration.version <= before:
        return
    world.routes.active[models.ACTIVE] = configuration
    world.routes.credits.clear()
    world.counters['routes.adopted'] += 1
    yield out.LogBelief(
        'routes',
        'configuration',
        f'version {before}',
        f'version {configuration.version}',
        f'from {source}',
    )
