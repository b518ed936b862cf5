"""Hold the constants of the fuzzing."""

ENTRIES_PER_DOMAIN = 2
EXAMPLES = 20
BURST_MAX = 12
DEMAND_MAX_MS = 100.0
DEADLINE_MIN_MS = 300.0
DEADLINE_MAX_MS = 2_500.0
ADVANCE_MAX_MS = 1_500.0

SHIFTS_PER_S = 4.0

# An upstream's own queue may start accepted work this much later.
UPSTREAM_WAIT_MS = 500.0
DRAIN_GRACE_MS = 3_000.0
# The platform's reports of a leaving upstream come this late.
REPORT_LAG_MS = 1_500.0
# The longest that an answer is on its way to its caller.
ANSWER_MAX_MS = 100.0

# After all faults end, the fleet must be whole again within this.
HEALED_MS = 15_000.0
TICKET_SPREAD_MS = 7_000.0
