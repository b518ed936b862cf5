"""Hold the constants of the store component."""

STATE_OBJECT = 'state'
# The era of a store that was never restored from a copy.
FIRST_ERA = 1
CALL_TIMEOUT_MS = 5_000.0
WATCH_TIMEOUT_MS = 10_000.0
# The store client ends each call by its deadline; a call without a result
# this long after its deadline counts as failed.
LOST_MARGIN_MS = 2_000.0
BACKOFF_MIN_MS = 200.0
BACKOFF_MAX_MS = 10_000.0
READERS_PER_DOMAIN = 2

# The first calls of entries that start together are spread over this time.
START_JITTER_MS = 2_000.0
ROLE_CHECK_MS = 2_000.0
LIST_PERIOD_MS = 10_000.0

# The fleet may use half of the call rates that the store accepts.
FLEET_READS_PER_S = 1_000.0
FLEET_WRITES_PER_S = 150.0
BURST_CALLS = 4.0
