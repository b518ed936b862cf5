"""Apply configurations, and choose routes and services."""

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
    """Apply configurations of a higher version; writes ``routes``."""
    for event in inputs:
        match event:
            case inp.ConfigurationRead(configuration, source):
                yield from _apply(world, configuration, source)
            case inp.ConfigurationsListed(items):
                for read in items:
                    yield from _apply(world, read.configuration, read.source)


def active_configuration(
    world: world_module.World,
) -> models.Configuration | None:
    """Return the active configuration, None before the first."""
    return world.routes.active.get(models.ACTIVE)


def limits(world: world_module.World) -> models.LimitsRow:
    """Return the limits on what callers may send."""
    configuration = active_configuration(world)
    return configuration.limits if configuration else models.DEFAULT_LIMITS


def match_route(
    configuration: models.Configuration, host: str, path: str
) -> models.RouteRow | None:
    """Return the route with the longest prefix of ``path``."""
    for row in configuration.by_host.get(host, ()):
        if path.startswith(row.prefix):
            return row
    return None


def choose_service(
    world: world_module.World, route: models.RouteRow
) -> ids.ServiceId:
    """Return one of a route's services, in proportion to the weights.

    Smooth weighted round robin: each service gains its weight in credit,
    the one with the most credit is chosen and loses the total weight.
    """
    if len(route.parts) == 1:
        return route.parts[0].service
    credits = world.routes.credits
    total_weight = 0.0
    chosen = route.parts[0].service
    highest_credit = float('-inf')
    for part in route.parts:
        total_weight += part.weight
        key = (route.name, part.service)
        # A random start keeps entries from choosing in step.
        credit = credits.get(key, world.random.random() * part.weight)
        credits[key] = credit + part.weight
        if part.weight > 0 and credits[key] > highest_credit:
            chosen, highest_credit = part.service, credits[key]
    credits[(route.name, chosen)] -= total_weight
    return chosen


def _apply(
    world: world_module.World,
    configuration: models.Configuration,
    source: str,
) -> abc.Iterator[out.Output]:
    previous = active_configuration(world)
    previous_version = previous.version if previous else 0
    if configuration.version <= previous_version:
        return
    world.routes.active[models.ACTIVE] = configuration
    world.routes.credits.clear()
    world.counters['routes.adopted'] += 1
    yield out.LogStateChange(
        'routes',
        'configuration',
        f'version {previous_version}',
        f'version {configuration.version}',
        f'from {source}',
    )
