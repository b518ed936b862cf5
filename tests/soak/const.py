"""Hold the bounds that the soak checks, and the size of a run."""

# What the users' sites set; each in ms.
GRACE_MS = 2_000.0
DRAIN_MS = 3_000.0
CONFIG_APPLY_MS = 3_000.0
EVACUATION_MS = 5_000.0
STABLE_WINDOW_MS = 4_000.0
RECOVERY_MS = 15_000.0
LOSS_SLACK_MS = 200.0
# A dead entry may be named for so long.
NAMED_MS = 7_000.0
ROUTE_TIMEOUT_MS = 2_000.0
# A route's timeout is answered within half a second.
TIMEOUT_SLACK_MS = 500.0
DEADLINE_MS = 2_500.0
# Of calm requests, so many in a hundred may end in another way than well.
CALM_FAILED_PERCENT = 1.0
ATTEMPTS_MAX = 2
# A process that was told to stop is gone this long after its grace.
EXIT_SLACK_MS = 1_000.0
# The soak's own loop may stand still for so long before bounds on time
# can't be judged.
LAG_MAX_MS = 250.0

FIRST_FAULT_MS = 5_000.0
LAST_CHECK_MS = 3_000.0
FAULT_GAP_MS = 900.0
CALLERS = 12
CALLER_PAUSE_MS = 120.0
WORK_MS = 60.0
DOMAINS = {'guj-a': 'guj', 'guj-b': 'guj', 'tn-a': 'tn'}
ENTRIES = ('edge-1', 'edge-2', 'edge-3', 'edge-4', 'edge-5')
SERVICES = {'desk': 4, 'ledger': 3}
MS_PER_S = 1_000.0
