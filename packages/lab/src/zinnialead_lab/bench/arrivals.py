"""Draw the work of a scenario; policy and baseline get the same list."""

from collections import abc
import itertools
import typing

import numpy as np
from zinnialead_core import ids
from zinnialead_lab.bench import const
from zinnialead_lab.bench import deployments
from zinnialead_lab.bench import models
from zinnialead_lab import fleet


class Stream(typing.NamedTuple):
    """Describe Poisson arrivals of one kind of work."""

    service: ids.ServiceId
    rank: ids.RankId
    domain: ids.DomainId
    rate_per_s: float
    from_ms: float
    to_ms: float
    deadline_ms: float


def draw_works(
    scenario: models.Scenario, deployment: models.Deployment, seed: int
) -> list[fleet.Work]:
    """Return all work of a scenario, in order of arrival."""
    generator = np.random.default_rng(seed)
    works = [
        work
        for stream in _arrival_streams(scenario, deployment)
        for work in _poisson_works(stream, deployment, generator)
    ]
    works.sort(key=lambda work: work.arrived_ms)
    return [
        work._replace(work_id=fleet.WorkId(number))
        for number, work in enumerate(works)
    ]


def _arrival_streams(
    scenario: models.Scenario, deployment: models.Deployment
) -> abc.Iterator[Stream]:
    state = deployment.state
    match scenario.faults:
        case (models.OnePool(duration_ms),):
            yield from _one_pool_streams(scenario, deployment, duration_ms)
            return
    for service, domain in itertools.product(state.services, state.domains):
        capacity = deployments.capacity_per_s(state, service, domain)
        for rank, share in const.RANK_SHARES.items():
            yield Stream(
                service,
                ids.RankId(rank),
                domain,
                capacity * scenario.load * share,
                0.0,
                scenario.times.end_ms,
                const.DEADLINES_MS[rank],
            )
    # Floods are drawn last, so that the other streams draw the same random
    # numbers with and without a flood.
    for fault in scenario.faults:
        match fault:
            case models.Flood():
                yield from _flood_streams(scenario, deployment, fault)


def _one_pool_streams(
    scenario: models.Scenario,
    deployment: models.Deployment,
    duration_ms: float,
) -> abc.Iterator[Stream]:
    state = deployment.state
    for service, domain in itertools.product(state.services, state.domains):
        capacity = deployments.capacity_per_s(state, service, domain)
        yield Stream(
            service,
            ids.RankId('normal'),
            domain,
            capacity * scenario.load,
            0.0,
            duration_ms,
            const.ERLANG_DEADLINE_MS,
        )


def _flood_streams(
    scenario: models.Scenario,
    deployment: models.Deployment,
    flood: models.Flood,
) -> abc.Iterator[Stream]:
    state = deployment.state
    for service, domain in itertools.product(state.services, state.domains):
        capacity = deployments.capacity_per_s(state, service, domain)
        yield Stream(
            service,
            flood.rank,
            domain,
            capacity * (flood.factor - scenario.load),
            scenario.times.fault_ms,
            scenario.times.repair_ms,
            const.DEADLINES_MS[flood.rank],
        )


def _poisson_works(
    stream: Stream,
    deployment: models.Deployment,
    generator: np.random.Generator,
) -> abc.Iterator[fleet.Work]:
    service = deployment.state.services[stream.service]
    span_ms = stream.to_ms - stream.from_ms
    count = generator.poisson(stream.rate_per_s * span_ms / const.MS_PER_S)
    times_ms = generator.uniform(stream.from_ms, stream.to_ms, count)
    demands_ms = generator.exponential(service.service_time_ms, count)
    for arrived_ms, demand_ms in zip(times_ms, demands_ms, strict=True):
        yield fleet.Work(
            work_id=fleet.WorkId(0),
            arrived_ms=float(arrived_ms),
            service=stream.service,
            rank=stream.rank,
            domain=stream.domain,
            demand_ms=float(demand_ms),
            deadline_ms=float(arrived_ms) + stream.deadline_ms,
            keyed=not service.idempotent,
        )
