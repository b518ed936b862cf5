"""Define the constants of the fuzzing."""

ENTRIES_PER_DOMAIN = 2
EXAMPLES = 20
BURST_MAX = 12
DEMAND_MAX_MS = 100.0
DEADLINE_MIN_MS = 300.0
DEADLINE_MAX_MS = 2_500.0
ADVANCE_MAX_MS = 1_500.0

SHIFT_CAP_PER_S = 4.0

# Accepted work may wait this long in the queue of its upstream.
UPSTREAM_WAIT_MS = 500.0
DRAIN_GRACE_MS = 3_000.0
# The longest delay of the reports of a leaving upstream.
REPORT_LAG_MS = 1_500.0
# The longest delay of an answer to its caller.
ANSWER_DELAY_MAX_MS = 100.0

# The fleet has to recover within this time after all faults end.
RECOVERY_MS = 15_000.0
TICKET_SPREAD_MS = 7_000.0
