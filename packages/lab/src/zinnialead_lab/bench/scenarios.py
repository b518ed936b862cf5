"""List the scenarios, and time the faults that each brings about."""

from collections import abc

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_lab.bench import const
from zinnialead_lab.bench import models
from zinnialead_lab import fleet

ROLLING_STEP_MS = 350.0
LONG = models.Times(*const.LONG_MS)
SHORT = models.Times(*const.SHORT_MS)
LIES = (fleet.LoadFault.ZERO, fleet.LoadFault.FROZEN, fleet.LoadFault.ABSENT)


def full() -> abc.Iterator[models.Scenario]:
    """Yield every scenario of the bench."""
    for load in const.LOADS:
        calm = (models.Calm(),)
        yield models.Scenario(f'calm {load}', load, calm, LONG)
    night = models.Flood(ids.RankId('night'), const.FLOOD_FACTOR)
    urgent = models.Flood(ids.RankId('urgent'), const.FLOOD_FACTOR)
    yield _faulty('flood of night', night)
    yield _faulty('flood of urgent', urgent)
    yield _faulty('brown-out', models.BrownOut())
    yield _faulty('region death', models.RegionDeath())
    yield _faulty('entry death', models.EntryDeath())
    yield _faulty('upstream drain', models.UpstreamDrain())
    yield _faulty('region drain', models.RegionDrain())
    yield _faulty('store outage', models.StoreOutage())
    yield _faulty('partition', models.Partition())
    yield _faulty('lying loads', models.LyingLoads())
    yield _faulty('silent connections', models.SilentConnections())
    yield _faulty('rolling', models.Rolling())
    yield _faulty('flood and region death', night, models.RegionDeath())
    yield _faulty('outage and rolling', models.StoreOutage(), models.Rolling())


def short() -> abc.Iterator[models.Scenario]:
    """Yield the few scenarios that run in seconds."""
    calm = (models.Calm(),)
    yield models.Scenario('calm 0.7', const.FAULT_LOAD, calm, SHORT)
    night = models.Flood(ids.RankId('night'), const.FLOOD_FACTOR)
    faults: dict[str, models.Fault] = {
        'entry death': models.EntryDeath(),
        'flood of night': night,
        'upstream drain': models.UpstreamDrain(),
    }
    for name, fault in faults.items():
        yield _faulty(name, fault)._replace(times=SHORT)


def one_pool(duration_ms: float) -> models.Scenario:
    """Return the scenario that is compared with Erlang's formula."""
    pool = (models.OnePool(duration_ms),)
    return models.Scenario('one pool', const.ERLANG_LOAD, pool, LONG)


def timed(
    scenario: models.Scenario, deployment: models.Deployment
) -> abc.Iterator[models.TimedInjection]:
    """Yield the injections of a scenario's faults."""
    for fault in scenario.faults:
        yield from _timed(fault, deployment, scenario.times)


def drained(deployment: models.Deployment) -> ids.UpstreamId:
    """Return the upstream that the drain scenario drains."""
    return next(iter(deployment.state.upstreams))


def last_region(deployment: models.Deployment) -> ids.RegionId:
    """Return the region that dies or drains: not that of the store."""
    return list(deployment.state.domains.values())[-1].region


def last_domain(deployment: models.Deployment) -> ids.DomainId:
    """Return the domain that a partition cuts off."""
    return list(deployment.state.domains)[-1]


def entry_names(
    deployment: models.Deployment, domain: ids.DomainId
) -> list[ids.EntryId]:
    """Return the names that a fleet gives the entries of a domain."""
    return [
        ids.EntryId(f'{domain}-entry-{number + 1}')
        for number in range(deployment.entries_per_domain)
    ]


def _faulty(name: str, *faults: models.Fault) -> models.Scenario:
    return models.Scenario(name, const.FAULT_LOAD, faults, LONG)


def _timed(
    fault: models.Fault, deployment: models.Deployment, times: models.Times
) -> abc.Iterator[models.TimedInjection]:
    match fault:
        case models.Calm() | models.OnePool() | models.Flood():
            return
        case models.BrownOut():
            yield from _brown_out(deployment, times)
        case models.RegionDeath():
            yield from _region_death(deployment, times)
        case models.EntryDeath():
            domain = next(iter(deployment.state.domains))
            entry = entry_names(deployment, domain)[0]
            yield _at(times.fault_ms, fleet.Kill(entry))
            yield _at(times.repair_ms, fleet.Restart(entry))
        case models.UpstreamDrain():
            upstream = drained(deployment)
            drain = tickets.UpstreamDrain(upstream)
            yield _at(times.fault_ms, _file(deployment, 2, drain))
        case models.RegionDrain():
            gone = tickets.RegionDrain(last_region(deployment))
            yield _at(times.fault_ms, _file(deployment, 2, gone))
        case models.StoreOutage():
            yield from _store_outage(deployment, times)
        case models.Partition():
            part = frozenset({last_domain(deployment)})
            yield _at(times.fault_ms, fleet.Partition((part,)))
            yield _at(times.repair_ms, fleet.Partition(()))
        case models.LyingLoads():
            for number, upstream in enumerate(deployment.state.upstreams):
                lie = LIES[number % len(LIES)]
                lying = fleet.SetUpstream(upstream, load_fault=lie)
                yield _at(times.fault_ms, lying)
        case models.SilentConnections():
            for upstream in list(deployment.state.upstreams)[::4]:
                yield _at(times.fault_ms, fleet.SilenceConnections(upstream))
        case models.Rolling():
            yield from _rolling(deployment)


def _at(due_ms: float, injection: fleet.Injection) -> models.TimedInjection:
    return models.TimedInjection(due_ms, injection)


def _file(
    deployment: models.Deployment, number: int, *drains: tickets.Drain
) -> fleet.FileTicket:
    named = {f'drain-{n}': drain for n, drain in enumerate(drains)}
    state = deployment.state._replace(number=number, drains=named)
    return fleet.FileTicket(state)


def _brown_out(
    deployment: models.Deployment, times: models.Times
) -> abc.Iterator[models.TimedInjection]:
    for upstream in list(deployment.state.upstreams)[::2]:
        yield _at(times.fault_ms, fleet.StartCold(upstream))


def _region_death(
    deployment: models.Deployment, times: models.Times
) -> abc.Iterator[models.TimedInjection]:
    state = deployment.state
    region = last_region(deployment)
    for domain, row in state.domains.items():
        if row.region == region:
            for entry in entry_names(deployment, domain):
                yield _at(times.fault_ms, fleet.Kill(entry))
                yield _at(times.repair_ms, fleet.Restart(entry))
    for upstream, known in state.upstreams.items():
        if state.domains[known.domain].region == region:
            dead = fleet.SetUpstream(upstream, fleet.Condition.DEAD)
            yield _at(times.fault_ms, dead)
            yield _at(times.repair_ms, fleet.StartCold(upstream))


def _store_outage(
    deployment: models.Deployment, times: models.Times
) -> abc.Iterator[models.TimedInjection]:
    drain = tickets.UpstreamDrain(drained(deployment))
    yield _at(times.fault_ms - 1_000.0, _file(deployment, 2, drain))
    yield _at(times.fault_ms, fleet.SetStore(down=True))
    yield _at(times.repair_ms, fleet.SetStore())
    yield _at(times.repair_ms + 100.0, _file(deployment, 3))


def _rolling(
    deployment: models.Deployment,
) -> abc.Iterator[models.TimedInjection]:
    by_domain = [
        entry_names(deployment, domain) for domain in deployment.state.domains
    ]
    in_turn = [
        entry for batch in zip(*by_domain, strict=True) for entry in batch
    ]
    for number, entry in enumerate(in_turn):
        due_ms = const.WARM_UP_MS + number * ROLLING_STEP_MS
        yield _at(due_ms, fleet.Stop(entry))
        yield _at(due_ms, fleet.Replace(entry))
