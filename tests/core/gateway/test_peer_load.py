"""Test what an entry expects of the load that others put on upstreams."""

import pytest

from core.gateway import samples
from zinnialead_core.gateway.entries import members
from zinnialead_core.gateway.entries import models as entries
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway.placement import const
from zinnialead_core.gateway.placement import loads
from zinnialead_core.gateway.placement import models
from zinnialead_core.gateway.placement import peer_load
from zinnialead_core.gateway.placement import remote_share
from zinnialead_core import verdict
from zinnialead_lab import load
from zinnialead_lab.load import report
from zinnialead_lab.load import scenarios

LONG_WORK = models.WorkRow(2_000.0, 4e6)


def fleet(own_per_s, *peers_per_s):
    """Return a world with two upstreams and peers with the given traffic."""
    rows = [samples.upstream('u-1'), samples.upstream('u-2')]
    far = samples.upstream('far', 'tn-a')
    world = samples.serving_world(upstreams_=[*rows, far])
    names = [f'entry-{n + 2}' for n in range(len(peers_per_s))]
    listed = tuple(map(samples.entry_row, names))
    heard = [
        inp.HeartbeatReceived(
            entries.Heartbeat(name, 1, False, True, requests_per_s=per_s)
        )
        for name, per_s in zip(names, peers_per_s, strict=True)
    ]
    samples.feed(world, 1.0, inp.EntriesListed(listed), *heard)
    traffic = world.entries.traffic[0]
    world.entries.traffic[0] = traffic._replace(requests_per_s=own_per_s)
    return world


@pytest.mark.parametrize(
    ('own_per_s', 'peers_per_s', 'ratio'),
    [
        (10.0, (), 0.0),
        (10.0, (10.0, 10.0), 2.0),
        (20.0, (10.0, 10.0), 1.0),
        # Without callers of its own it counts as one of the others.
        (0.0, (10.0, 10.0), 2.0),
        (0.0, (0.1, 0.1), 0.0),
    ],
)
def test_peers_load_upstreams_in_proportion_to_their_callers(
    own_per_s, peers_per_s, ratio
):
    world = fleet(own_per_s, *peers_per_s)
    assert members.peer_traffic_ratio(world, 2.0) == ratio


def test_an_upstream_without_a_report_has_the_load_of_other_entries():
    world = fleet(10.0, 10.0)
    world.placement.work['specdesk'] = LONG_WORK
    remote_share.get(world, 'specdesk')
    for _ in range(2):
        loads.record_start(world, 'u-1')
    peer_load.update(world, 2.0)
    assert loads.estimate(world, 2.0, 'u-1') > 2 / 5
    assert 0.0 < loads.estimate(world, 2.0, 'u-2') < 2 / 5
    # What other regions' entries send there is not known.
    assert loads.estimate(world, 2.0, 'far') == 0.0


def test_less_is_expected_where_answers_come_soon():
    world = fleet(10.0, 10.0)
    remote_share.get(world, 'specdesk')
    loads.record_start(world, 'u-1')
    peer_load.update(world, 2.0)
    found = []
    for work in (models.WorkRow(100.0, 1e4), LONG_WORK):
        world.placement.work['specdesk'] = work
        found.append(loads.estimate(world, 2.0, 'u-2'))
    assert 0.0 < found[0] < 0.1 * found[1]


def test_a_recent_report_goes_before_what_is_expected():
    world = fleet(10.0, 10.0, 10.0, 10.0)
    world.placement.work['specdesk'] = LONG_WORK
    remote_share.get(world, 'specdesk')
    loads.record_start(world, 'u-1')
    loads.record_start(world, 'u-1')
    peer_load.update(world, 2.0)
    answer = inp.AttemptDone(
        1, 1, verdict.Answered(200), 100.0, inp.ReportedLoad(2, 0, 5)
    )
    loads.record_end(world, 3.0, 'u-1', 'lookup', answer)
    assert loads.estimate(world, 3.0, 'u-1') == 1 / 5


def test_a_report_of_a_service_with_long_work_counts_for_longer():
    world = fleet(10.0)
    for elapsed_ms, expected in ((100.0, 0.0), (2_000.0, 0.4)):
        world.placement.work.clear()
        answer = inp.AttemptDone(
            1, 1, verdict.Answered(200), elapsed_ms, inp.ReportedLoad(5, 0, 5)
        )
        loads.record_end(world, 0.0, 'u-1', 'lookup', answer)
        load_later = loads.estimate(world, 2_500.0, 'u-1')
        assert load_later == pytest.approx(expected)


def test_an_upstream_that_has_reported_nothing_is_not_known_to_be_free():
    """The clock of a machine that has just started is near 0."""
    world = fleet(10.0, 10.0)
    world.placement.work['specdesk'] = LONG_WORK
    world.placement.peer_loads['specdesk'] = models.PeerLoadRow(2.0, 1.0)
    loads.record_start(world, 'u-1')
    assert loads.estimate(world, 1.0, 'u-1') > 1 / 5


def test_the_age_of_a_report_that_was_never_made_is_unknown():
    """Decision lines showed the time since the clock's start."""
    world = fleet(10.0)
    assert loads.report_age_ms(9e6, loads.get(world, 'u-1')) is None
    answer = inp.AttemptDone(
        1, 1, verdict.Answered(200), 100.0, inp.ReportedLoad(1, 0, 5)
    )
    loads.record_end(world, 9e6, 'u-1', 'lookup', answer)
    assert loads.report_age_ms(9e6 + 70.4, loads.get(world, 'u-1')) == 70


def test_no_entry_expects_load_before_it_has_sent_any():
    world = fleet(10.0, 10.0)
    assert loads.estimate(world, 1.0, 'u-1') == 0.0
    assert world.placement.peer_loads == {}


def play(monkeypatch, seed, *, is_before):
    """Return what callers get, with or without what is tested here."""
    with monkeypatch.context() as patched:
        if is_before:
            patched.setattr(const, 'REPORTED_LOAD_AGE_TIMES', 0.0)
            patched.setattr(peer_load, 'expected', lambda *_: 0.0)
        world = load.play(scenarios.burst_of_long(seed))
    return report.summarize(world)


def test_urgent_work_is_not_lost_behind_long_work_of_other_entries(
    monkeypatch,
):
    """Each entry filled the upstreams with long work as if it were alone."""
    before, after = (
        [play(monkeypatch, seed, is_before=is_before)[0] for seed in (1, 2, 3)]
        for is_before in (True, False)
    )
    assert sum(row.failed for row in after) < sum(row.failed for row in before)
    assert sum(row.in_time for row in after) > sum(
        row.in_time for row in before
    )


def test_the_long_work_itself_is_served_as_before(monkeypatch):
    patient = play(monkeypatch, 1, is_before=False)[1]
    assert patient.failed == 0
    assert patient.refused <= 0.1 * patient.owed
