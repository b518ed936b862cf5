"""Test the simulated fleet."""

from lab.fleet import samples_fleet as samples
import pytest
from zinnialead_core import verdict
from zinnialead_lab import fleet
from zinnialead_lab.fleet import callers
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import oracle

NO_VIOLATIONS = oracle.Violations(0, 0, 0, 0)


@pytest.mark.parametrize('is_baseline', [False, True])
def test_a_fleet_without_faults_answers_everything_once(is_baseline):
    small_fleet = samples.busy_fleet(seed=1, is_baseline=is_baseline)
    fleet.run_until(small_fleet, 5_000.0)
    assert [x.verdict for x in small_fleet.completions] == [
        verdict.Verdict.RAN
    ] * 100
    assert oracle.check(small_fleet) == NO_VIOLATIONS


def test_the_same_seed_gives_the_same_run():
    first, second = samples.busy_fleet(seed=3), samples.busy_fleet(seed=3)
    for small_fleet in (first, second):
        fleet.inject(
            small_fleet, fleet.SetNetwork(fleet.NetworkRow(0.1, 0.1, 0.1))
        )
        fleet.run_until(small_fleet, 5_000.0)
    assert first.completions == second.completions
    assert first.counters == second.counters


def test_callers_of_a_killed_entry_complete_their_work():
    small_fleet = samples.busy_fleet(seed=1)
    fleet.run_until(small_fleet, 500.0)
    fleet.inject(small_fleet, fleet.Kill('kigali-a-entry-1'))
    fleet.run_until(small_fleet, 5_000.0)
    assert len(small_fleet.completions) == 100
    assert small_fleet.callers == {}


def test_a_paused_entry_processes_held_inputs_after_resume():
    small_fleet = samples.busy_fleet(seed=1)
    fleet.run_until(small_fleet, 500.0)
    fleet.inject(small_fleet, fleet.Pause('kigali-a-entry-1'))
    fleet.run_until(small_fleet, 900.0)
    assert small_fleet.entries['kigali-a-entry-1'].held_inputs
    fleet.inject(small_fleet, fleet.Resume('kigali-a-entry-1'))
    fleet.run_until(small_fleet, 5_000.0)
    assert len(small_fleet.completions) == 100
    assert oracle.check(small_fleet) == NO_VIOLATIONS


def test_a_caller_keeps_its_key_after_a_may_have_run():
    small_fleet = samples.busy_fleet(seed=1)
    fleet.run_until(small_fleet, 101.0)
    work_id = next(
        x for x in small_fleet.callers if small_fleet.works[x].keyed
    )
    row = small_fleet.callers[work_id]
    reported_verdict = verdict.Verdict.MAY_HAVE_RUN
    reason = verdict.Reason.KEY_REGISTRAR_DOWN.value
    callers.handle_end(
        small_fleet,
        events.CallEnds(work_id, row.attempt, reported_verdict, reason, True),
    )
    later = small_fleet.callers[work_id]
    assert later.attempt == row.attempt + 1
    assert (later.key, later.may_have_run) == (row.key, True)


def test_a_ticket_is_not_accepted_while_the_store_is_down():
    small_fleet = samples.busy_fleet(seed=1)
    fleet.inject(small_fleet, fleet.SetStore(down=True))
    fleet.inject(small_fleet, fleet.FileTicket(samples.state(number=2)))
    assert small_fleet.objects['state'].value == b'state 1'


def test_the_oracle_reports_a_double_run():
    small_fleet = samples.busy_fleet(seed=1)
    fleet.run_until(small_fleet, 5_000.0)
    run = next(
        x for x in small_fleet.runs if small_fleet.works[x.work_id].keyed
    )
    small_fleet.runs.append(run)
    assert oracle.check(small_fleet).double_runs == 1
