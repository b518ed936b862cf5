"""Define the Hypothesis state machine that drives a fleet.

Each rule method calls a function of ``actions``, and each check one of
``oracle``. Hypothesis draws the rules, and the arguments of a rule, in
an order that depends on their names.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from zinnialead_core import ids
from zinnialead_lab import fleet as fleets
from zinnialead_lab.fuzz import actions
from zinnialead_lab.fuzz import const
from zinnialead_lab.fuzz import deployment
from zinnialead_lab.fuzz import models
from zinnialead_lab.fuzz import oracle

PICK = st.integers(0, 1_000)
SHARE = st.sampled_from([0.0, 0.0, 0.1, 0.3])
ISOLATED_GROUPS = st.sampled_from(
    [
        (),
        (frozenset(deployment.DOMAINS[:1]),),
        (frozenset(deployment.DOMAINS[:2]),),
        (frozenset(deployment.DOMAINS[1:3]),),
        tuple(frozenset([x]) for x in deployment.DOMAINS),
    ]
)


class PromiseMachine(stateful.RuleBasedStateMachine):
    """Drive a fleet by rules and check the promises after each rule."""

    run: models.Run

    @stateful.initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start a fleet."""
        self.run = actions.start(seed)

    @stateful.rule(
        picks=st.lists(PICK, min_size=1, max_size=const.BURST_MAX),
        demand_ms=st.floats(1.0, const.DEMAND_MAX_MS),
        deadline_ms=st.floats(const.DEADLINE_MIN_MS, const.DEADLINE_MAX_MS),
        elapsed_ms=st.floats(0.0, 50.0),
    )
    def work(
        self,
        picks: list[int],
        demand_ms: float,
        deadline_ms: float,
        elapsed_ms: float,
    ) -> None:
        """Start a burst of work."""
        for pick in picks:
            actions.start_work(self.run, pick, demand_ms, deadline_ms)
        actions.advance(self.run, elapsed_ms)

    @stateful.rule(pick=PICK)
    def copy(self, pick: int) -> None:
        """Send a request with a key to two entries."""
        actions.duplicate_call(self.run, pick)

    @stateful.rule(
        pick=PICK,
        deadline_ms=st.floats(const.DEADLINE_MIN_MS, const.DEADLINE_MAX_MS),
    )
    def ask_again(self, pick: int, deadline_ms: float) -> None:
        """Retry completed work."""
        actions.retry_call(self.run, pick, deadline_ms)

    @stateful.rule(elapsed_ms=st.floats(1.0, const.ADVANCE_MAX_MS))
    def advance(self, elapsed_ms: float) -> None:
        """Advance the clock."""
        actions.advance(self.run, elapsed_ms)

    @stateful.rule(
        pick=PICK,
        kind=st.sampled_from([fleets.Kill, fleets.Restart, fleets.Pause]),
    )
    def hurt_entry(
        self,
        pick: int,
        kind: type[fleets.Kill | fleets.Restart | fleets.Pause],
    ) -> None:
        """Kill, restart or pause an entry."""
        name = actions.select_entry(self.run, pick)
        if (
            self.run.fleet.entries[name].process_state
            is fleets.ProcessState.RUNNING
        ):
            fleets.inject(self.run.fleet, kind(name))

    @stateful.rule(pick=PICK)
    def mend_entry(self, pick: int) -> None:
        """Resume or restart an entry that does not run."""
        name = actions.select_entry(self.run, pick)
        match self.run.fleet.entries[name].process_state:
            case fleets.ProcessState.PAUSED:
                fleets.inject(self.run.fleet, fleets.Resume(name))
            case fleets.ProcessState.DEAD | fleets.ProcessState.STOPPED:
                fleets.inject(self.run.fleet, fleets.Restart(name))

    @stateful.rule(pick=PICK)
    def stop_entry(self, pick: int) -> None:
        """Request a graceful stop of an entry."""
        fleets.inject(
            self.run.fleet, fleets.Stop(actions.select_entry(self.run, pick))
        )

    @stateful.rule(
        drop=SHARE, duplicate=SHARE, reorder=SHARE, groups=ISOLATED_GROUPS
    )
    def set_network(
        self,
        drop: float,
        duplicate: float,
        reorder: float,
        groups: tuple[frozenset[ids.DomainId], ...],
    ) -> None:
        """Drop, duplicate and delay messages, and partition domains."""
        row = fleets.NetworkRow(drop, duplicate, reorder, 300.0, groups)
        fleets.inject(self.run.fleet, fleets.SetNetwork(row))

    @stateful.rule(
        down=st.booleans(), slow_ms=st.sampled_from([0.0, 800.0]), lost=SHARE
    )
    def set_store(self, down: bool, slow_ms: float, lost: float) -> None:
        """Stop the store, slow it down, or drop its answers."""
        fleets.inject(self.run.fleet, fleets.SetStore(down, slow_ms, lost))

    @stateful.rule(
        pick=PICK,
        condition=st.sampled_from(fleets.Condition),
        load_fault=st.sampled_from(fleets.LoadFault),
    )
    def set_upstream(
        self,
        pick: int,
        condition: fleets.Condition,
        load_fault: fleets.LoadFault,
    ) -> None:
        """Set the condition and the load fault of an upstream."""
        name = actions.select_upstream(self.run, pick)
        actions.set_upstream(self.run, name, condition, load_fault)

    @stateful.rule(pick=PICK)
    def silence(self, pick: int) -> None:
        """Drop all traffic on the open connections to an upstream."""
        name = actions.select_upstream(self.run, pick)
        fleets.inject(self.run.fleet, fleets.SilenceConnections(name))

    @stateful.rule(drain_picks=st.frozensets(st.integers(0, 6), max_size=3))
    def file(self, drain_picks: frozenset[int]) -> None:
        """File a ticket with up to three drains."""
        actions.file_ticket(self.run, drain_picks)

    @stateful.invariant()
    def promises_hold(self) -> None:
        """Check that no promise is violated so far."""
        violations = list(oracle.violations(self.run))
        assert not violations, violations

    def teardown(self) -> None:
        """Clear the faults and check that the fleet recovers."""
        if not hasattr(self, 'run'):
            return
        actions.clear_faults(self.run)
        actions.advance(self.run, const.RECOVERY_MS)
        number = actions.file_ticket(self.run, frozenset())
        actions.advance(self.run, const.TICKET_SPREAD_MS)
        violations = [
            *oracle.recovery_violations(self.run, number),
            *oracle.violations(self.run),
        ]
        hypothesis.note(f'at {self.run.fleet.now_ms} ms')
        assert not violations, violations
