"""List the scenarios, and schedule the injections of their faults."""

from collections import abc

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_lab.bench import const
from zinnialead_lab.bench import models
from zinnialead_lab import fleet

ROLLING_STEP_MS = 350.0
LONG_TIMES = models.Times(*const.LONG_TIMES_MS)
SHORT_TIMES = models.Times(*const.SHORT_TIMES_MS)
LOAD_FAULTS = (
    fleet.LoadFault.ZERO,
    fleet.LoadFault.FROZEN,
    fleet.LoadFault.ABSENT,
)


def full() -> abc.Iterator[models.Scenario]:
    """Yield every scenario of the bench."""
    for load in const.LOADS:
        calm = (models.Calm(),)
        yield models.Scenario(f'calm {load}', load, calm, LONG_TIMES)
    night = models.Flood(ids.RankId('night'), const.FLOOD_FACTOR)
    urgent = models.Flood(ids.RankId('urgent'), const.FLOOD_FACTOR)
    yield _fault_scenario('flood of night', night)
    yield _fault_scenario('flood of urgent', urgent)
    yield _fault_scenario('brown-out', models.BrownOut())
    yield _fault_scenario('region death', models.RegionDeath())
    yield _fault_scenario('entry death', models.EntryDeath())
    yield _fault_scenario('upstream drain', models.UpstreamDrain())
    yield _fault_scenario('region drain', models.RegionDrain())
    yield _fault_scenario('store outage', models.StoreOutage())
    yield _fault_scenario('partition', models.Partition())
    yield _fault_scenario('lying loads', models.LyingLoads())
    yield _fault_scenario('silent connections', models.SilentConnections())
    yield _fault_scenario('rolling', models.RollingReplacement())
    yield _fault_scenario(
        'flood and region death', night, models.RegionDeath()
    )
    yield _fault_scenario(
        'outage and rolling', models.StoreOutage(), models.RollingReplacement()
    )


def short() -> abc.Iterator[models.Scenario]:
    """Yield the few scenarios of the short form."""
    calm = (models.Calm(),)
    yield models.Scenario('calm 0.7', const.FAULT_LOAD, calm, SHORT_TIMES)
    night = models.Flood(ids.RankId('night'), const.FLOOD_FACTOR)
    faults: dict[str, models.Fault] = {
        'entry death': models.EntryDeath(),
        'flood of night': night,
        'upstream drain': models.UpstreamDrain(),
    }
    for name, fault in faults.items():
        yield _fault_scenario(name, fault)._replace(times=SHORT_TIMES)


def one_pool(duration_ms: float) -> models.Scenario:
    """Return the scenario that is compared with Erlang's formula."""
    faults = (models.OnePool(duration_ms),)
    return models.Scenario('one pool', const.ERLANG_LOAD, faults, LONG_TIMES)


def injections(
    scenario: models.Scenario, deployment: models.Deployment
) -> abc.Iterator[models.TimedInjection]:
    """Yield the injections of a scenario's faults, with their times."""
    for fault in scenario.faults:
        yield from _fault_injections(fault, deployment, scenario.times)


def drained_upstream(deployment: models.Deployment) -> ids.UpstreamId:
    """Return the upstream that the drain scenarios drain."""
    return next(iter(deployment.state.upstreams))


def affected_region(deployment: models.Deployment) -> ids.RegionId:
    """Return the region that dies or drains.

    It is the last one, as the store is in the first.
    """
    return list(deployment.state.domains.values())[-1].region


def isolated_domain(deployment: models.Deployment) -> ids.DomainId:
    """Return the domain that a partition isolates."""
    return list(deployment.state.domains)[-1]


def entry_names(
    deployment: models.Deployment, domain: ids.DomainId
) -> list[ids.EntryId]:
    """Return the names that a fleet gives the entries of a domain."""
    return [
        ids.EntryId(f'{domain}-entry-{index + 1}')
        for index in range(deployment.entries_per_domain)
    ]


def _fault_scenario(name: str, *faults: models.Fault) -> models.Scenario:
    return models.Scenario(name, const.FAULT_LOAD, faults, LONG_TIMES)


def _fault_injections(
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
            upstream = drained_upstream(deployment)
            drain = tickets.UpstreamDrain(upstream)
            yield _at(times.fault_ms, _file_ticket(deployment, 2, drain))
        case models.RegionDrain():
            region_drain = tickets.RegionDrain(affected_region(deployment))
            yield _at(
                times.fault_ms, _file_ticket(deployment, 2, region_drain)
            )
        case models.StoreOutage():
            yield from _store_outage(deployment, times)
        case models.Partition():
            isolated = frozenset({isolated_domain(deployment)})
            yield _at(times.fault_ms, fleet.Partition((isolated,)))
            yield _at(times.repair_ms, fleet.Partition(()))
        case models.LyingLoads():
            for index, upstream in enumerate(deployment.state.upstreams):
                load_fault = LOAD_FAULTS[index % len(LOAD_FAULTS)]
                misreport = fleet.SetUpstream(upstream, load_fault=load_fault)
                yield _at(times.fault_ms, misreport)
        case models.SilentConnections():
            for upstream in list(deployment.state.upstreams)[::4]:
                yield _at(times.fault_ms, fleet.SilenceConnections(upstream))
        case models.RollingReplacement():
            yield from _rolling_replacement(deployment)


def _at(due_ms: float, injection: fleet.Injection) -> models.TimedInjection:
    return models.TimedInjection(due_ms, injection)


def _file_ticket(
    deployment: models.Deployment, ticket_number: int, *drains: tickets.Drain
) -> fleet.FileTicket:
    drains_by_name = {f'drain-{n}': drain for n, drain in enumerate(drains)}
    state = deployment.state._replace(
        number=ticket_number, drains=drains_by_name
    )
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
    region = affected_region(deployment)
    for domain, row in state.domains.items():
        if row.region == region:
            for entry in entry_names(deployment, domain):
                yield _at(times.fault_ms, fleet.Kill(entry))
                yield _at(times.repair_ms, fleet.Restart(entry))
    for upstream, upstream_row in state.upstreams.items():
        if state.domains[upstream_row.domain].region == region:
            failure = fleet.SetUpstream(upstream, fleet.Condition.DEAD)
            yield _at(times.fault_ms, failure)
            yield _at(times.repair_ms, fleet.StartCold(upstream))


def _store_outage(
    deployment: models.Deployment, times: models.Times
) -> abc.Iterator[models.TimedInjection]:
    drain = tickets.UpstreamDrain(drained_upstream(deployment))
    yield _at(times.fault_ms - 1_000.0, _file_ticket(deployment, 2, drain))
    yield _at(times.fault_ms, fleet.SetStore(down=True))
    yield _at(times.repair_ms, fleet.SetStore())
    yield _at(times.repair_ms + 100.0, _file_ticket(deployment, 3))


def _rolling_replacement(
    deployment: models.Deployment,
) -> abc.Iterator[models.TimedInjection]:
    by_domain = [
        entry_names(deployment, domain) for domain in deployment.state.domains
    ]
    in_turn = [
        entry for batch in zip(*by_domain, strict=True) for entry in batch
    ]
    for index, entry in enumerate(in_turn):
        due_ms = const.WARM_UP_MS + index * ROLLING_STEP_MS
        yield _at(due_ms, fleet.Stop(entry))
        yield _at(due_ms, fleet.Replace(entry))
