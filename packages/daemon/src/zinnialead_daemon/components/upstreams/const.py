"""Hold the constants of the upstreams' pools."""

MS_PER_S = 1_000.0
# Larger answers are not kept for replay under a key.
RECORD_MAX_BYTES = 16_384
# An answer up to this size is held back until it is whole.
ANSWER_BUFFER_BYTES = 65_536
CHUNKS_MAX = 4

# A connection not heard from for this long is not used again: something
# between the two ends may have lost track of it.
KEEP_ALIVE_S = 2.0
CONNECT_TIMEOUT_MS = 1_000.0
CANCEL_TIMEOUT_MS = 500.0
# Started work that must run at most once is heard out for this long after
# its deadline: its true end is worth more than the connection.
COMPLETION_GRACE_MS = 5_000.0
CONNECTIONS_DEFAULT = 64

POLL_PERIOD_MS = 2_000.0
POLL_TIMEOUT_MS = 800.0
POLLS_PER_S_MAX = 50.0
POLL_CONNECTIONS_MAX = 64

HEADER_SHED = b'zinnialead-shed'
HEADER_DEADLINE = b'zinnialead-deadline-ms'
HEADER_REQUEST = b'zinnialead-request-id'
HEADER_RETRY_AFTER = b'retry-after'
CANCEL_PATH = b'/zinnialead/cancel'
HEALTH_PATH = b'/health'
LOAD_PATH = b'/load'
NEVER_STARTED = b'never-started'
SHED_STATUS = 503
