"""Measure what one request costs the entries, by role."""

from collections import abc

from zinnialead_lab.bench import coordinator as bench
from zinnialead_lab.bench import deployments
from zinnialead_lab.bench import scenarios
from zinnialead_lab.capacity import const
from zinnialead_lab.capacity import models
from zinnialead_lab.capacity import nodes
from zinnialead_lab.capacity import states

EVENT = 'one request'
REQUEST_ROLES = frozenset({'admission and dispatch', 'ownership of keys'})


def measure(seed: int) -> abc.Iterator[models.Finding]:
    """Yield messages, bytes and processor time for each request."""
    calm = next(scenarios.short())
    job = bench.Job(calm, deployments.umusozi(), seed)
    made = bench.prepare_fleet(job, is_baseline=False)
    made.meter = meter = states.new_meter()
    bench.run_to_end(job, made)
    count = len(made.works)
    keyed = sum(work.keyed for work in made.works.values())
    yield models.Finding(EVENT, 'share with a key', '', keyed / count)
    for role in sorted(REQUEST_ROLES):
        kinds = [kind for kind, its in nodes.ROLES.items() if its == role]
        sent = sum(meter.messages[kind] for kind in kinds)
        size = sum(meter.bytes[kind] for kind in kinds)
        yield models.Finding(EVENT, f'{role}, messages', '1', sent / count)
        yield models.Finding(EVENT, f'{role}, bytes', 'B', size / count)
    spent_s = sum(
        seconds
        for kind, seconds in meter.tick_s.items()
        if nodes.ROLES.get(kind.removesuffix(' codec')) in REQUEST_ROLES
        or kind in nodes.REQUEST_INPUTS
    )
    each_ms = spent_s * const.MS_PER_S / count
    yield models.Finding(EVENT, 'processor, ticks and codec', 'ms', each_ms)
