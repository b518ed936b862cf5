"""Define the loads that the placement and the queues are weighed on."""

from collections import abc

from zinnialead_lab.load import models

REGIONS = ('north', 'south', 'west')


def _services(desk: int, book: int) -> abc.Iterator[models.ServiceRow]:
    """Yield two services with so many upstreams in each region."""
    for name, count in (('desk', desk), ('book', book)):
        yield models.ServiceRow(name, dict.fromkeys(REGIONS, count))


def _kinds() -> abc.Iterator[models.KindRow]:
    """Yield an urgent, a usual and a patient kind of two services."""
    new = models.KindRow
    yield new('release', 'book', 0, False, 8, 600, 400, 2_500, 1_800, 30)
    yield new('look-up', 'desk', 1, True, 30, 800, 500, 4_000, 2_400, 60)
    yield new('pull', 'book', 2, True, 5, 2_400, 3_000, 12_000, 8_000, 20)


def _scenario(
    name: str,
    seed: int,
    *bursts: models.BurstRow,
    desk: int = 8,
    book: int = 8,
) -> models.Scenario:
    return models.Scenario(
        name,
        tuple(_services(desk, book)),
        tuple(_kinds()),
        bursts,
        seed=seed,
    )


def steady(seed: int = 1) -> models.Scenario:
    """Return a load that the upstreams carry with ease."""
    return _scenario('steady', seed)


def noisy_machines(
    seed: int = 1, *, is_reported: bool = True
) -> models.Scenario:
    """Return a load while other work slows machines 2.5 times by turns."""
    noise = models.NoiseRow(0.25, 2.5, 600.0, is_reported)
    scenario = _scenario('noisy-machines', seed, desk=5, book=5)
    return scenario._replace(noise=noise)


def burst_of_patient(seed: int = 1) -> models.Scenario:
    """Return a burst of the least urgent work that fills its service."""
    burst = models.BurstRow('pull', 5.0, 3_000.0, 8_000.0)
    return _scenario('burst-of-patient', seed, burst)


def burst_of_urgent(seed: int = 1) -> models.Scenario:
    """Return a burst of the most urgent work over a patient base load."""
    burst = models.BurstRow('release', 5.0, 3_000.0, 8_000.0)
    return _scenario('burst-of-urgent', seed, burst)


def short_region(seed: int = 1) -> models.Scenario:
    """Return a load of which one region has a quarter of the slots."""
    scenario = _scenario('short-region', seed)
    services = tuple(
        row._replace(upstreams={**row.upstreams, REGIONS[0]: 2})
        for row in scenario.services
    )
    return scenario._replace(services=services)


def burst_of_long(seed: int = 1) -> models.Scenario:
    """Return a burst of work that takes seconds, beside urgent work.

    Upstreams answer so late that an entry learns little of their load.
    """
    service = models.ServiceRow(
        'book', {'north': 4, 'south': 10, 'west': 12}, cached_objects=9
    )
    new = models.KindRow
    kinds = (
        new('release', 'book', 0, False, 7, 816, 500, 3_000, 1_500, 26),
        new('pull', 'book', 2, True, 4.5, 4_656, 5_000, 20_000, 15_000, 16),
    )
    burst = models.BurstRow('pull', 2.6, 2_000.0, 8_000.0)
    return models.Scenario(
        'burst-of-long', (service,), kinds, (burst,), seed=seed
    )


SCENARIOS = {
    'steady': steady,
    'noisy-machines': noisy_machines,
    'burst-of-patient': burst_of_patient,
    'burst-of-urgent': burst_of_urgent,
    'short-region': short_region,
    'burst-of-long': burst_of_long,
}
