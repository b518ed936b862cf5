"""Define the constants of the slots component."""

ASK_TIMEOUT_MS = 250.0
ASK_TIMEOUT_MAX_MS = 1_000.0
# How many times the ask timeout doubles.
ASK_BACKOFF_STEPS_MAX = 2
# Unanswered asks after which another domain's owner is skipped.
ASK_MISSES_MAX = 2
LEASE_RENEWAL_PERIOD_MS = 1_000.0
# A slot is reclaimed if its holder has not renewed it for this long.
GRANT_LEASE_MS = 4_000.0
# A new owner collects reports of slots in use before it grants any.
TAKEOVER_PAUSE_MS = 300.0
# How long an owner computed from the members is cached.
OWNER_CACHE_MS = 50.0
# Usable slots also grow with time alone, without an event.
RECHECK_PERIOD_MS = 100.0
SERVICE_TIME_WEIGHT = 0.05
# Nearly all work ends within the mean and this many mean deviations.
SERVICE_TIME_DEVIATIONS = 5.0
RESERVED_SPARE_SHARE = 0.5
ARRIVALS_WINDOW_MS = 2_000.0
# A timeout counts as an upstream failure only after this many mean
# service times.
TIMEOUT_FAILURE_SERVICE_TIMES = 5.0
FLOOR_CREDIT_DUE = 0.5
# Floors are shares of slot time, including the idle round trip between
# two uses of a slot.
FLOOR_MARGIN_FACTOR = 1.05
FLOOR_CREDIT_MAX = 4.0
AVAILABLE_SHARE_MIN = 0.01
QUEUE_MAX = 100
QUEUE_FULL_RETRY_MS = 1_000.0
