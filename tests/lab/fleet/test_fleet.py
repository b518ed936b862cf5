"""Run small fleets of cores among the fakes."""

from lab.fleet import samples_fleet as samples
import pytest
from zinnialead_core import verdict
from zinnialead_lab import fleet
from zinnialead_lab.fleet import callers
from zinnialead_lab.fleet import events
from zinnialead_lab.fleet import oracle

NOTHING_BROKEN = oracle.Violations(0, 0, 0, 0)


@pytest.mark.parametrize('plain', [False, True])
def test_a_calm_fleet_answers_everything_once(plain):
    made = samples.busy(seed=1, plain=plain)
    fleet.run_until(made, 5_000.0)
    assert [x.verdict for x in made.completions] == [verdict.Verdict.RAN] * 100
    assert oracle.check(made) == NOTHING_BROKEN


def test_the_same_seed_gives_the_same_run():
    first, second = samples.busy(seed=3), samples.busy(seed=3)
    for made in (first, second):
        fleet.inject(made, fleet.SetNetwork(fleet.NetworkRow(0.1, 0.1, 0.1)))
        fleet.run_until(made, 5_000.0)
    assert first.completions == second.completions
    assert first.counters == second.counters


def test_callers_leave_a_dead_entry_at_once():
    made = samples.busy(seed=1)
    fleet.run_until(made, 500.0)
    fleet.inject(made, fleet.Kill('kigali-a-entry-1'))
    fleet.run_until(made, 5_000.0)
    assert len(made.completions) == 100
    assert made.callers == {}


def test_a_paused_entry_takes_its_inputs_after_it_wakes():
    made = samples.busy(seed=1)
    fleet.run_until(made, 500.0)
    fleet.inject(made, fleet.Pause('kigali-a-entry-1'))
    fleet.run_until(made, 900.0)
    assert made.entries['kigali-a-entry-1'].held
    fleet.inject(made, fleet.Resume('kigali-a-entry-1'))
    fleet.run_until(made, 5_000.0)
    assert len(made.completions) == 100
    assert oracle.check(made) == NOTHING_BROKEN


def test_a_caller_keeps_its_key_after_a_may_have_run():
    made = samples.busy(seed=1)
    fleet.run_until(made, 101.0)
    work_id = next(x for x in made.callers if made.works[x].keyed)
    row = made.callers[work_id]
    said = verdict.Verdict.MAY_HAVE_RUN
    reason = verdict.Reason.KEY_REGISTRAR_DOWN.value
    callers.ended(
        made, events.CallEnds(work_id, row.attempt, said, reason, True)
    )
    later = made.callers[work_id]
    assert later.attempt == row.attempt + 1
    assert (later.key, later.may_have_run) == (row.key, True)


def test_a_ticket_is_not_accepted_while_the_store_is_down():
    made = samples.busy(seed=1)
    fleet.inject(made, fleet.SetStore(down=True))
    fleet.inject(made, fleet.FileTicket(samples.state(number=2)))
    assert made.objects['state'].value == b'state 1'


def test_the_oracle_sees_a_double_run():
    made = samples.busy(seed=1)
    fleet.run_until(made, 5_000.0)
    run = next(x for x in made.runs if made.works[x.work_id].keyed)
    made.runs.append(run)
    assert oracle.check(made).double_runs == 1
