"""Hold the constants of the store component."""

STATE_OBJECT = 'state'
CALL_TIMEOUT_MS = 5_000.0
WATCH_TIMEOUT_MS = 10_000.0
# The edge ends each call in time; this finds those that it lost.
LOST_MARGIN_MS = 2_000.0
BACKOFF_MIN_MS = 200.0
BACKOFF_MAX_MS = 10_000.0
READERS_PER_DOMAIN = 2

# Entries that start together call the store at times spread over this.
START_JITTER_MS = 2_000.0
ROLE_CHECK_MS = 2_000.0
LIST_PERIOD_MS = 10_000.0

# The whole fleet's share of what the store takes, half of its rates.
FLEET_READS_PER_S = 1_000.0
FLEET_WRITES_PER_S = 150.0
BURST_CALLS = 4.0
