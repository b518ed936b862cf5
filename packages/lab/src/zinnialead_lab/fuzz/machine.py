"""Let hypothesis choose what happens to a fleet.

Hypothesis asks for a class with rules as methods; each rule hands over to
a function in ``acts``, and each check to one in ``oracle``.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from zinnialead_core import ids
from zinnialead_lab import fleet as fleets
from zinnialead_lab.fuzz import acts
from zinnialead_lab.fuzz import const
from zinnialead_lab.fuzz import deployment
from zinnialead_lab.fuzz import models
from zinnialead_lab.fuzz import oracle

PICK = st.integers(0, 1_000)
SHARE = st.sampled_from([0.0, 0.0, 0.1, 0.3])
PARTS = st.sampled_from(
    [
        (),
        (frozenset(deployment.DOMAINS[:1]),),
        (frozenset(deployment.DOMAINS[:2]),),
        (frozenset(deployment.DOMAINS[1:3]),),
        tuple(frozenset([x]) for x in deployment.DOMAINS),
    ]
)


class PromiseMachine(stateful.RuleBasedStateMachine):
    """Drive one fleet by rules and check the promises after each."""

    run: models.Run

    @stateful.initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start a fleet."""
        self.run = acts.start(seed)

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
        """Let callers start work."""
        for pick in picks:
            acts.work(self.run, pick, demand_ms, deadline_ms)
        acts.advance(self.run, elapsed_ms)

    @stateful.rule(pick=PICK)
    def copy(self, pick: int) -> None:
        """Send a key to two entries at once."""
        acts.copy(self.run, pick)

    @stateful.rule(
        pick=PICK,
        deadline_ms=st.floats(const.DEADLINE_MIN_MS, const.DEADLINE_MAX_MS),
    )
    def ask_again(self, pick: int, deadline_ms: float) -> None:
        """Ask for work that is over once more."""
        acts.ask_again(self.run, pick, deadline_ms)

    @stateful.rule(elapsed_ms=st.floats(1.0, const.ADVANCE_MAX_MS))
    def advance(self, elapsed_ms: float) -> None:
        """Let time pass."""
        acts.advance(self.run, elapsed_ms)

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
        name = acts.entry(self.run, pick)
        if (
            self.run.fleet.entries[name].process_state
            is fleets.ProcessState.RUNNING
        ):
            fleets.inject(self.run.fleet, kind(name))

    @stateful.rule(pick=PICK)
    def mend_entry(self, pick: int) -> None:
        """Bring an entry back, if it is away."""
        name = acts.entry(self.run, pick)
        match self.run.fleet.entries[name].process_state:
            case fleets.ProcessState.PAUSED:
                fleets.inject(self.run.fleet, fleets.Resume(name))
            case fleets.ProcessState.DEAD | fleets.ProcessState.STOPPED:
                fleets.inject(self.run.fleet, fleets.Restart(name))

    @stateful.rule(pick=PICK)
    def stop_entry(self, pick: int) -> None:
        """Ask an entry for a graceful stop."""
        fleets.inject(self.run.fleet, fleets.Stop(acts.entry(self.run, pick)))

    @stateful.rule(drop=SHARE, duplicate=SHARE, reorder=SHARE, parts=PARTS)
    def set_network(
        self,
        drop: float,
        duplicate: float,
        reorder: float,
        parts: tuple[frozenset[ids.DomainId], ...],
    ) -> None:
        """Lose, copy and delay messages, and cut domains off."""
        row = fleets.NetworkRow(drop, duplicate, reorder, 300.0, parts)
        fleets.inject(self.run.fleet, fleets.SetNetwork(row))

    @stateful.rule(
        down=st.booleans(), slow_ms=st.sampled_from([0.0, 800.0]), lost=SHARE
    )
    def set_store(self, down: bool, slow_ms: float, lost: float) -> None:
        """Take the store down, slow it, or lose its answers."""
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
        """Let an upstream leave, die, fall silent or lie."""
        name = acts.upstream(self.run, pick)
        acts.set_upstream(self.run, name, condition, load_fault)

    @stateful.rule(pick=PICK)
    def silence(self, pick: int) -> None:
        """Let open connections to an upstream go silent."""
        name = acts.upstream(self.run, pick)
        fleets.inject(self.run.fleet, fleets.SilenceConnections(name))

    @stateful.rule(picked=st.frozensets(st.integers(0, 6), max_size=3))
    def file(self, picked: frozenset[int]) -> None:
        """File a ticket that drains something, or nothing."""
        acts.file(self.run, picked)

    @stateful.invariant()
    def promises_hold(self) -> None:
        """Check the promises so far."""
        found = list(oracle.broken(self.run))
        assert not found, found

    def teardown(self) -> None:
        """End the faults, and check that the fleet is whole again."""
        if not hasattr(self, 'run'):
            return
        acts.heal(self.run)
        acts.advance(self.run, const.HEALED_MS)
        number = acts.file(self.run, frozenset())
        acts.advance(self.run, const.TICKET_SPREAD_MS)
        found = [
            *oracle.not_whole(self.run, number),
            *oracle.broken(self.run),
        ]
        hypothesis.note(f'at {self.run.fleet.now_ms} ms')
        assert not found, found
