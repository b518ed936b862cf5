"""Test that each check of the soak finds its violation."""

import random
import types

import pytest

from soak import checks
from soak import const
from soak import models
from soak import plan
from soak import readers

AT_MS = 60_000.0


def request(name='r-1', **fields):
    row = models.RequestRow(
        name, 'edge-1', '/look/', False, AT_MS, AT_MS + 100.0, 200, True
    )
    return row._replace(**fields)


def run_row(name='r-1', **fields):
    row = models.RunRow(
        name, 'i-1', 'desk', 'guj-a', AT_MS + 20.0, AT_MS + 90.0
    )
    return row._replace(**fields)


def tables(requests, runs, **fields):
    recorded = models.new_tables()
    services = {'/look/': 'desk'}
    recorded.versions.append(models.VersionRow(1, -AT_MS, services))
    recorded.processes.extend(
        models.ProcessRow(entry, -AT_MS, float('inf'))
        for entry in const.ALL_ENTRIES
    )
    # Each entry serves a request at the end, or RECOVERY would fail.
    for entry in const.ALL_ENTRIES:
        name = f'last-{entry}'
        requests = [*requests, request(name, entry=entry)]
        runs = [*runs, run_row(name)]
    recorded.requests.extend(requests)
    recorded.runs.extend(runs)
    for field, rows in fields.items():
        getattr(recorded, field).extend(rows)
    return recorded


def failed_checks(recorded):
    return {row.check for row in checks.violations(recorded)}


def test_a_run_without_faults_has_no_violation():
    assert not failed_checks(tables([request()], [run_row()]))


@pytest.mark.parametrize(
    ('check', 'sent', 'runs'),
    [
        ('TWICE', request(once=True), [run_row(), run_row(upstream='i-2')]),
        ('ATTEMPTS', request(), [run_row()] * 3),
        ('REFUSED', request(once=True, status=503), [run_row()]),
        ('MIXED', request(is_whole=False), [run_row()]),
        ('MIXED', request(), []),
        ('LOST', request(status=0, detail='closed'), [run_row()]),
        ('LOST', request(status=0, done_ms=AT_MS + 300.0), []),
        ('LOST', request(status=502), [run_row()]),
        ('LOST', request(status=503), [run_row()]),
        ('LOST', request(status=504, done_ms=AT_MS + 1_900.0), [run_row()]),
        ('LATE', request(done_ms=AT_MS + 2_600.0), [run_row()]),
        ('ROUTE', request(), [run_row(service='ledger')]),
        ('CONFIG', request(status=404), []),
        ('SERVED', request(status=503), []),
    ],
)
def test_each_violation_is_found(check, sent, runs):
    assert check in failed_checks(tables([sent], runs))


@pytest.mark.parametrize('entry', ['edge-1', None])
def test_a_fault_that_hides_an_answer_excuses_its_loss(entry):
    span = models.SpanRow('Kill', entry, False, AT_MS - 100.0, AT_MS + 90.0)
    recorded = tables([request(status=0)], [run_row()], spans=[span])
    assert 'LOST' not in failed_checks(recorded)


@pytest.mark.parametrize('fault', ['Stop', 'StoreFault', 'StoreLink'])
def test_a_stop_or_store_fault_excuses_no_loss(fault):
    span = models.SpanRow(fault, 'edge-1', True, AT_MS - 100.0, AT_MS + 90.0)
    recorded = tables([request(status=0)], [run_row()], spans=[span])
    assert 'LOST' in failed_checks(recorded)


def test_a_timeout_takes_the_place_of_the_upstreams_response():
    sent = request(status=504, done_ms=AT_MS + const.ROUTE_TIMEOUT_MS + 1.0)
    assert 'LOST' not in failed_checks(tables([sent], [run_row()]))


@pytest.mark.parametrize(
    ('sent_part', 'done_part', 'until_part', 'is_lost'),
    [
        (-0.2, 0.9, 0.9, False),
        (0.4, 0.9, 0.9, False),
        (0.6, 0.9, 0.9, True),
        (0.4, 0.9, 0.8, True),
        (0.4, 0.7, 0.9, True),
    ],
)
@pytest.mark.parametrize('status', [0, 504])
def test_a_stop_excuses_only_what_outlasts_the_grace_period(
    status, sent_part, done_part, until_part, is_lost
):
    """The times are parts of the grace period since SIGTERM."""
    process = models.ProcessRow('edge-1', 0.0, AT_MS)
    sent = request(
        status=status,
        sent_ms=AT_MS + sent_part * const.GRACE_MS,
        done_ms=AT_MS + done_part * const.GRACE_MS,
    )
    run = run_row(until_ms=AT_MS + until_part * const.GRACE_MS)
    recorded = tables([sent], [run], processes=[process])
    assert ('LOST' in failed_checks(recorded)) == is_lost


@pytest.mark.parametrize(
    ('upstream', 'domain', 'bound_ms'),
    [
        ('i-1', None, const.DRAIN_MS),
        (None, 'guj-a', const.EVACUATION_MS),
    ],
)
@pytest.mark.parametrize('late_ms', [-100.0, 100.0])
def test_what_is_drained_gets_nothing_after_the_bound(
    upstream, domain, bound_ms, late_ms
):
    acked_ms = AT_MS + 20.0 - bound_ms - late_ms
    departure = models.LeftRow(upstream, domain, acked_ms, float('inf'))
    recorded = tables([request()], [run_row()], departures=[departure])
    assert ('DRAIN' in failed_checks(recorded)) == (late_ms > 0.0)


@pytest.mark.parametrize('late_ms', [-100.0, 100.0])
def test_a_configuration_is_applied_within_the_bound(late_ms):
    acked_ms = AT_MS - const.CONFIG_APPLY_MS - late_ms
    newer = models.VersionRow(2, acked_ms, {'/look/': 'ledger'})
    recorded = tables([request()], [run_row()], versions=[newer])
    assert ('CONFIG' in failed_checks(recorded)) == (late_ms > 0.0)


@pytest.mark.parametrize('late_ms', [-100.0, 100.0])
def test_a_dead_entry_is_no_longer_named(late_ms):
    since_ms = AT_MS - const.DEAD_ENTRY_NAMED_MS - late_ms
    outage = models.DownRow('edge-2', since_ms, float('inf'))
    look_up = models.LookUpRow('edge-1', AT_MS, frozenset(('edge-2',)))
    recorded = tables(
        [request()], [run_row()], outages=[outage], look_ups=[look_up]
    )
    assert ('NAMED' in failed_checks(recorded)) == (late_ms > 0.0)


def test_an_entry_that_serves_nothing_at_the_end_is_found():
    recorded = tables([request()], [run_row()])
    recorded.requests[:] = [
        x for x in recorded.requests if x.entry != 'edge-3'
    ]
    assert 'RECOVERY' in failed_checks(recorded)


@pytest.mark.parametrize('seed', [7, 8])
def test_a_plan_is_drawn_from_its_seed_and_leaves_time_to_recover(seed):
    drawn = [plan.schedule(seed, 60.0) for _ in range(2)]
    assert drawn[0] == drawn[1]
    last_ms = 60_000.0 - const.RECOVERY_MS - const.LAST_CHECK_MS
    for at_ms, fault in drawn[0]:
        assert at_ms + plan.duration_ms(fault) <= last_ms


def test_a_drain_is_due_once_the_store_is_stable():
    acked_ms = AT_MS - const.DRAIN_MS - 1_000.0
    departure = models.LeftRow('i-1', None, acked_ms, float('inf'))
    span = models.SpanRow('StoreRestored', None, False, 0.0, acked_ms)
    recorded = tables(
        [request()], [run_row()], departures=[departure], spans=[span]
    )
    assert 'DRAIN' not in failed_checks(recorded)
    recorded.spans[0] = span._replace(
        end_ms=acked_ms - const.STABLE_WINDOW_MS - 1.0
    )
    assert 'DRAIN' in failed_checks(recorded)


@pytest.mark.parametrize('check', ['CONFIG', 'DRAIN'])
@pytest.mark.parametrize('late_ms', [-100.0, 100.0])
def test_a_restore_excuses_an_entry_for_the_stable_window(check, late_ms):
    end_ms = AT_MS - const.STABLE_WINDOW_MS - late_ms
    span = models.SpanRow(
        'StoreRestored', None, False, end_ms - 1_000.0, end_ms
    )
    recorded = tables(
        [request()],
        [run_row()],
        versions=[models.VersionRow(2, 9_000.0, {'/look/': 'ledger'})],
        departures=[models.LeftRow(None, 'guj-a', 9_000.0, float('inf'))],
        spans=[span],
    )
    assert (check in failed_checks(recorded)) == (late_ms > 0.0)


@pytest.mark.parametrize(
    ('fields', 'is_reverted'),
    [
        ({}, True),
        ({'status': 404}, True),
        ({'entry': 'edge-2'}, False),
        ({'sent_ms': AT_MS + 100.0}, False),
    ],
)
def test_a_process_does_not_revert_to_an_older_configuration(
    fields, is_reverted
):
    newer = models.VersionRow(2, AT_MS - 500.0, {'/look/': 'ledger'})
    later = request('r-2', sent_ms=AT_MS + 300.0, done_ms=AT_MS + 400.0)
    later = later._replace(**fields)
    runs = [run_row(service='ledger')]
    if later.status == 200:
        runs.append(run_row('r-2', began_ms=AT_MS + 310.0))
    recorded = tables([request(), later], runs, versions=[newer])
    assert ('REVERTED' in failed_checks(recorded)) == is_reverted


def test_a_restarted_entry_may_know_an_older_configuration():
    newer = models.VersionRow(2, AT_MS - 500.0, {'/look/': 'ledger'})
    later = request('r-2', sent_ms=AT_MS + 300.0, done_ms=AT_MS + 400.0)
    runs = [
        run_row(service='ledger'),
        run_row('r-2', began_ms=AT_MS + 310.0),
    ]
    process = models.ProcessRow('edge-1', AT_MS + 200.0, float('inf'))
    recorded = tables(
        [request(), later], runs, versions=[newer], processes=[process]
    )
    assert 'REVERTED' not in failed_checks(recorded)


@pytest.mark.parametrize('late_ms', [-100.0, 100.0])
@pytest.mark.parametrize('fault', [None, 'Pause', 'StoreRestored'])
def test_a_process_keeps_to_what_a_leaving_upstream_told_it(late_ms, fault):
    told = request(sent_ms=9_900.0, done_ms=10_000.0)
    departure = models.LeftRow('i-9', None, 9_000.0, 9_500.0)
    sent_ms = 10_000.0 + const.DRAIN_MS + late_ms
    later = request('r-2', sent_ms=sent_ms, done_ms=sent_ms + 100.0)
    runs = [
        run_row(upstream='i-9', until_ms=9_990.0),
        run_row('r-2', upstream='i-9'),
    ]
    recorded = tables([told, later], runs, departures=[departure])
    if fault:
        span = models.SpanRow(fault, None, False, 11_000.0, 11_500.0)
        recorded.spans.append(span)
    is_broken = late_ms > 0.0 and fault != 'Pause'
    assert ('LEAVING' in failed_checks(recorded)) == is_broken


def test_an_added_route_that_an_entry_does_not_serve_is_found():
    recorded = tables([request(prefix='/add2/', status=503)], [])
    assert 'ADDED' in failed_checks(recorded)


def test_every_fifth_seed_loses_readers_and_the_others_stay_as_they_were():
    losses = (
        models.ReadersKilled,
        models.ReadersPaused,
        models.ReadersSilenced,
    )
    found = {
        seed: sum(isinstance(x, losses) for _, x in plan.schedule(seed, 60))
        for seed in range(1, 21)
    }
    assert all(count >= 2 for seed, count in found.items() if seed % 5 == 0)
    assert not any(count for seed, count in found.items() if seed % 5)
    drawn = {type(x) for _, x in plan.reader_losses(random.Random(1), 120)}
    assert drawn.issuperset(losses)


def test_the_readers_of_a_region_are_found_by_their_logs(tmp_path):
    reader = '{"subject":"reader","after":"%s"}\n'
    started = '{"message_type":"life","event":"started"}\n'
    logs = {
        'edge-1': reader % 'reads',
        'edge-2': reader % 'reads' + reader % 'follows',
        'edge-3': reader % 'reads',
        'edge-4': reader % 'reads' + started,
        'edge-5': started + reader % 'reads' + '{"subject":"reader","af',
    }
    for name, text in logs.items():
        (tmp_path / f'{name}.log').write_text(text)
    soak = types.SimpleNamespace(members=logs, folder=tmp_path)
    assert readers.find(soak, 'guj') == ('edge-1', 'edge-5')
    assert readers.find(soak, 'tn') == ('edge-3',)


@pytest.mark.parametrize(('count', 'is_flooded'), [(6, False), (7, True)])
def test_an_upstream_that_has_just_started_is_not_flooded(count, is_flooded):
    start = models.UpstreamStartRow('i-1', AT_MS)
    runs = [run_row(f'r-{n}', began_ms=AT_MS + 9.0) for n in range(count)]
    earlier = [run_row('r-8', began_ms=AT_MS - 1.0)]
    later = [run_row('r-9', began_ms=AT_MS + const.WARM_UP_MS)]
    recorded = tables([], [*earlier, *runs, *later], upstream_starts=[start])
    # The runs of the last requests are on the same upstream.
    recorded.runs[:] = [x for x in recorded.runs if x.name[:2] == 'r-']
    assert ('COLD' in failed_checks(recorded)) == is_flooded


def test_every_seventh_seed_starts_upstreams_again():
    faults = [fault for _, fault in plan.schedule(7, 40.0)]
    assert any(isinstance(x, models.RestartUpstream) for x in faults)
    faults = [fault for _, fault in plan.schedule(8, 40.0)]
    assert not any(isinstance(x, models.RestartUpstream) for x in faults)
