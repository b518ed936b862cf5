"""Define the bounds that the soak checks, and the size of a run."""

# Values as configured at the users' sites.
GRACE_MS = 2_000.0
DRAIN_MS = 3_000.0
CONFIG_APPLY_MS = 3_000.0
EVACUATION_MS = 5_000.0
REVERT_SLACK_MS = 250.0
# A slowed entry may need this many times as long.
SLOWED_FACTOR = 8.0
# An entry counts as disturbed for this long after a fault.
STABLE_WINDOW_MS = 4_000.0
# Time without faults at the end of a run, before the last check.
RECOVERY_MS = 15_000.0
# A request that never ran may lose its connection within this time.
LOSS_SLACK_MS = 200.0
# Look-ups may name a dead entry for this long.
DEAD_ENTRY_NAMED_MS = 7_000.0
ROUTE_TIMEOUT_MS = 2_000.0
# The response to a timeout may come this long after the route's timeout.
TIMEOUT_SLACK_MS = 500.0
DEADLINE_MS = 2_500.0
# Percentage of calm requests that may end with a status other than 200.
CALM_FAILED_PERCENT = 1.0
ATTEMPTS_MAX = 2
# A process that got SIGTERM must exit this long after its grace period.
EXIT_SLACK_MS = 1_000.0
# A longer stall of the soak's own event loop counts as a fault, as bounds on
# time can't be checked then.
LAG_MAX_MS = 250.0

FIRST_FAULT_MS = 5_000.0
# Each entry must serve a request in this time at the end of a run.
LAST_CHECK_MS = 3_000.0
MEAN_FAULT_GAP_MS = 900.0
# Time between the stops of a rolling restart, as parts of the grace period.
ROLLING_GAP_PARTS = (0.3, 0.6)
CALLER_COUNT = 18
MEAN_CALLER_PAUSE_MS = 120.0
# Callers reuse connections for four fifths of the idle timeout.
IDLE_MAX_MS = 12_000.0
WORK_MS = 60.0
# Share of the requests whose work lasts a large part of the grace period, and
# the least and the largest part.
SLOW_SHARE = 0.2
SLOW_GRACE_PARTS = (0.4, 0.8)
# Failure domains and their regions.
DOMAINS = {'guj-a': 'guj', 'guj-b': 'guj', 'tn-a': 'tn'}
ENTRIES = ('edge-1', 'edge-2', 'edge-3', 'edge-4', 'edge-5')
# With entries that no fault strikes alone: most of a region's don't read the
# store themselves.
ALL_ENTRIES = (*ENTRIES, 'edge-6', 'edge-7', 'edge-8')
# Services and their number of upstreams.
SERVICES = {'desk': 4, 'ledger': 3}
# How often the store is copied, and the age of a copy that it comes back from.
COPY_PERIOD_MS = 250.0
# How long it is away then, give or take a fifth.
AWAY_MS = (400.0, 700.0, 1_200.0, 2_500.0)
COPY_AGES_MS = (1_000.0, 10_000.0)
COPIES_MAX = int(COPY_AGES_MS[1] / COPY_PERIOD_MS) + 1
# Then upstreams register again within a heartbeat, and the operator writes
# its objects again.
HEARTBEAT_MS = 1_500.0
OPERATOR_WRITES_AGAIN_MS = 2_000.0
# Faults beside a store that comes back from a copy: their number before and
# after its return, and how long after it they may start.
DRILL_FAULT_COUNTS = (1, 6)
DRILL_AFTER_MS = 8_000.0
# The seeds that lose the readers of a region, and for how long.
READERS_LOST_SEED_INTERVAL = 5
READERS_LOST_MS = (3_000.0, 5_500.0)
# The seeds in which upstreams start again under their ids, how long each is
# down, when it has registered again, and the time between two starts.
RESTARTS_SEED_INTERVAL = 7
RESTART_DOWN_MS = (50.0, 1_500.0)
RESTART_REGISTERED_MS = (0.0, 1_500.0)
RESTART_GAP_MS = (200.0, 2_500.0)
# An upstream that starts is cold for this long, and tolerates this rate of
# requests from all entries together.
WARM_UP_MS = 1_000.0
COLD_PER_S = 1.0
COLD_FACTOR = 1.5
COLD_SLACK_PER_S = 5.0
# Upstreams that joined last may be drained too.
JOINED_LAST = 3
MS_PER_S = 1_000.0
