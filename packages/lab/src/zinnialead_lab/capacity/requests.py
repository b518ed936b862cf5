"""Measure what one request costs the entries, by role."""

from collections import abc

from zinnialead_lab.bench import coordinator as bench
from zinnialead_lab.bench import deployments
from zinnialead_lab.bench import scenarios
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import fixtures
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import nodes

EVENT = 'one request'
REQUEST_ROLES = frozenset({'admission and dispatch', 'ownership of keys'})


def measure(seed: int) -> abc.Iterator[models.EventRow]:
    """Yield messages, bytes and processor time for each request."""
    scenario = next(scenarios.short())
    job = bench.Job(scenario, deployments.umusozi(), seed)
    simulation = bench.prepare_fleet(job, is_baseline=False)
    simulation.meter = meter = fixtures.new_meter()
    bench.run_to_end(job, simulation)
    count = len(simulation.works)
    keyed_count = sum(work.keyed for work in simulation.works.values())
    yield models.EventRow(EVENT, 'share with a key', '', keyed_count / count)
    for role in sorted(REQUEST_ROLES):
        kinds = [
            kind
            for kind, kind_role in nodes.ROLES.items()
            if kind_role == role
        ]
        sent = sum(meter.messages[kind] for kind in kinds)
        sent_bytes = sum(meter.bytes[kind] for kind in kinds)
        yield models.EventRow(EVENT, f'{role}, messages', '1', sent / count)
        yield models.EventRow(EVENT, f'{role}, bytes', 'B', sent_bytes / count)
    spent_s = sum(
        seconds
        for kind, seconds in meter.tick_s.items()
        if nodes.ROLES.get(kind.removesuffix(' codec')) in REQUEST_ROLES
        or kind in nodes.REQUEST_INPUTS
    )
    each_ms = spent_s * const.MS_PER_S / count
    yield models.EventRow(EVENT, 'processor, ticks and codec', 'ms', each_ms)
