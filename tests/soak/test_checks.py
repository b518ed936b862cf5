"""Show that each check of the soak finds what it is there for."""

import random

import pytest

from soak import checks
from soak import const
from soak import models
from soak import plan

AT_MS = 60_000.0


def request(name='r-1', **fields):
    row = models.RequestRow(
        name, 'edge-1', '/look/', False, AT_MS, AT_MS + 100.0, 200, True
    )
    return row._replace(**fields)


def a_run(name='r-1', **fields):
    row = models.RunRow(name, 'i-1', 'desk', 'guj-a', AT_MS + 20.0)
    return row._replace(**fields)


def tables(requests, runs, **fields):
    made = models.new_tables()
    services = {'/look/': 'desk'}
    made.versions.append(models.VersionRow(1, -AT_MS, services))
    # What each entry serves in the end.
    for entry in const.ENTRIES:
        name = f'last-{entry}'
        requests = [*requests, request(name, entry=entry)]
        runs = [*runs, a_run(name)]
    made.requests.extend(requests)
    made.runs.extend(runs)
    for field, rows in fields.items():
        getattr(made, field).extend(rows)
    return made


def found(made):
    return {row.promise for row in checks.violations(made)}


def test_a_run_without_faults_breaks_nothing():
    assert not found(tables([request()], [a_run()]))


@pytest.mark.parametrize(
    ('promise', 'asked', 'runs'),
    [
        ('TWICE', request(once=True), [a_run(), a_run(upstream='i-2')]),
        ('ATTEMPTS', request(), [a_run()] * 3),
        ('REFUSED', request(once=True, status=503), [a_run()]),
        ('MIXED', request(is_whole=False), [a_run()]),
        ('MIXED', request(), []),
        ('LOST', request(status=0, detail='closed'), [a_run()]),
        ('LOST', request(status=0, done_ms=AT_MS + 300.0), []),
        ('LATE', request(done_ms=AT_MS + 2_600.0), [a_run()]),
        ('ROUTE', request(), [a_run(service='ledger')]),
        ('CONFIG', request(status=404), []),
        ('SERVED', request(status=503), []),
    ],
)
def test_a_broken_promise_is_found(promise, asked, runs):
    assert promise in found(tables([asked], runs))


@pytest.mark.parametrize('entry', ['edge-1', None])
def test_a_fault_that_hides_an_answer_excuses_its_loss(entry):
    span = models.SpanRow('Kill', entry, False, AT_MS - 100.0, AT_MS + 90.0)
    made = tables([request(status=0)], [a_run()], spans=[span])
    assert 'LOST' not in found(made)


@pytest.mark.parametrize('fault', ['Stop', 'StoreFault', 'StoreLink'])
def test_a_stop_or_the_store_excuses_no_loss(fault):
    span = models.SpanRow(fault, 'edge-1', True, AT_MS - 100.0, AT_MS + 90.0)
    made = tables([request(status=0)], [a_run()], spans=[span])
    assert 'LOST' in found(made)


@pytest.mark.parametrize(
    ('upstream', 'domain', 'bound_ms'),
    [
        ('i-1', None, const.DRAIN_MS),
        (None, 'guj-a', const.EVACUATION_MS),
    ],
)
@pytest.mark.parametrize('late_ms', [-100.0, 100.0])
def test_what_leaves_gets_nothing_after_its_time(
    upstream, domain, bound_ms, late_ms
):
    acked_ms = AT_MS + 20.0 - bound_ms - late_ms
    left = models.LeftRow(upstream, domain, acked_ms, float('inf'))
    made = tables([request()], [a_run()], left=[left])
    assert ('DRAIN' in found(made)) == (late_ms > 0.0)


@pytest.mark.parametrize('late_ms', [-100.0, 100.0])
def test_a_version_is_followed_once_it_is_due(late_ms):
    acked_ms = AT_MS - const.CONFIG_APPLY_MS - late_ms
    newer = models.VersionRow(2, acked_ms, {'/look/': 'ledger'})
    made = tables([request()], [a_run()], versions=[newer])
    assert ('CONFIG' in found(made)) == (late_ms > 0.0)


@pytest.mark.parametrize('late_ms', [-100.0, 100.0])
def test_an_entry_that_is_gone_is_named_no_more(late_ms):
    since_ms = AT_MS - const.NAMED_MS - late_ms
    down = models.DownRow('edge-2', since_ms, float('inf'))
    look_up = models.LookUpRow('edge-1', AT_MS, frozenset(('edge-2',)))
    made = tables([request()], [a_run()], down=[down], look_ups=[look_up])
    assert ('NAMED' in found(made)) == (late_ms > 0.0)


def test_an_entry_that_serves_nothing_in_the_end_is_found():
    made = tables([request()], [a_run()])
    made.requests[:] = [x for x in made.requests if x.entry != 'edge-3']
    assert 'RECOVERY' in found(made)


def test_a_plan_is_drawn_from_its_seed_and_leaves_time_to_recover():
    drawn = [list(plan.faults(random.Random(7), 60.0)) for _ in range(2)]
    assert drawn[0] == drawn[1]
    last_ms = 60_000.0 - const.RECOVERY_MS - const.LAST_CHECK_MS
    for at_ms, fault in drawn[0]:
        assert at_ms + plan.duration_ms(fault) <= last_ms
