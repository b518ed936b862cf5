"""Define the loads that the placement and the queues are weighed on."""

from zinnialead_lab.load import models

REGIONS = ('north', 'south', 'west')


def _even(count: int) -> dict[str, int]:
    return dict.fromkeys(REGIONS, count)


def _services(desk: int, book: int) -> tuple[models.ServiceRow, ...]:
    return (
        models.ServiceRow('desk', _even(desk)),
        models.ServiceRow('book', _even(book)),
    )


def _kinds(scale: float) -> tuple[models.KindRow, ...]:
    """Return an urgent, a usual and a patient kind of two services."""
    new = models.KindRow
    return (
        new(
            'release', 'book', 0, False, 8 * scale, 600, 400, 2_500, 1_800, 30
        ),
        new(
            'look-up', 'desk', 1, True, 30 * scale, 800, 500, 4_000, 2_400, 60
        ),
        new(
            'pull', 'book', 2, True, 5 * scale, 2_400, 3_000, 12_000, 8_000, 20
        ),
    )


def steady(seed: int = 1) -> models.Scenario:
    """Return a load that the upstreams carry with ease."""
    return models.Scenario('steady', _services(8, 8), _kinds(1.0), seed=seed)


def noisy_machines(
    seed: int = 1, *, is_reported: bool = True
) -> models.Scenario:
    """Return a load while other work slows machines 2.5 times by turns."""
    return models.Scenario(
        'noisy-machines',
        _services(5, 5),
        _kinds(1.0),
        noise=models.NoiseRow(0.25, 2.5, 600.0, is_reported),
        seed=seed,
    )


def burst_of_patient(seed: int = 1) -> models.Scenario:
    """Return a burst of the least urgent work that fills its service."""
    burst = models.BurstRow('pull', 5.0, 3_000.0, 8_000.0)
    return models.Scenario(
        'burst-of-patient', _services(8, 8), _kinds(1.0), (burst,), seed=seed
    )


def burst_of_urgent(seed: int = 1) -> models.Scenario:
    """Return a burst of the most urgent work over a patient base load."""
    burst = models.BurstRow('release', 5.0, 3_000.0, 8_000.0)
    return models.Scenario(
        'burst-of-urgent', _services(8, 8), _kinds(1.0), (burst,), seed=seed
    )


def short_region(seed: int = 1) -> models.Scenario:
    """Return a load of which one region has a quarter of the slots."""
    services = tuple(
        row._replace(upstreams={**row.upstreams, REGIONS[0]: 2})
        for row in _services(8, 8)
    )
    return models.Scenario('short-region', services, _kinds(1.0), seed=seed)


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
