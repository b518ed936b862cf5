"""Define the constants of the simulated fleet."""

# One-way latencies.
DOMAIN_LATENCY_MS = 0.5
REGION_LATENCY_MS = 35.0
CALLER_LATENCY_MS = 3.0
STORE_SERVICE_MS = 2.0
NEW_CONNECTION_MS = 1.0
CONNECT_TIMEOUT_MS = 500.0
CANCEL_TIMEOUT_MS = 500.0
# A connection without an outcome for this long is replaced by a new one.
CONNECTION_IDLE_MAX_MS = 2_000.0
REPORT_PERIOD_MS = 1_000.0
REPORT_LAG_MS = 500.0
SEEDS_PER_DOMAIN = 2
# How long the platform lists a VM that has ended.
LIST_LAG_MS = 10_000.0
# An unchanged watch ends this long before its deadline.
WATCH_MARGIN_MS = 100.0
CALLERS_PER_DOMAIN = 16
CALLER_ATTEMPTS_MAX = 4
# How long after the deadline a caller waits for an answer.
CALLER_GRACE_MS = 500.0
# Service times at an upstream with a cold cache are multiplied by this.
COLD_FACTOR = 3.0
COLD_CACHE_MS = 3_000.0
UPSTREAM_QUEUE_MAX = 4
STATE_OBJECT = 'state'
BASELINE_ATTEMPTS_MAX = 4
REPLACE_POLL_MS = 100.0
