"""Define the constants of the upstreams' connection pools."""

MS_PER_S = 1_000.0
# Larger answers are not stored for replay under a key.
RECORD_MAX_BYTES = 16_384
# Answers up to this size are buffered until they are complete.
ANSWER_BUFFER_BYTES = 65_536
CHUNKS_MAX = 4
# The largest answer, as large as the largest request.
ANSWER_MAX_BYTES = 67_108_864
# Answers to polls and cancellations.
REPORT_MAX_BYTES = 65_536

# A connection idle for longer is not reused: a middlebox such as a NAT or
# firewall may have dropped its state.
KEEP_ALIVE_S = 2.0
CONNECT_TIMEOUT_MS = 1_000.0
CANCEL_TIMEOUT_MS = 500.0
CANCEL_CONNECTIONS_MAX = 64
# Extra wait after the deadline for started work that must run at most once:
# knowing its outcome is worth more than the connection.
COMPLETION_GRACE_MS = 5_000.0
CONNECTIONS_DEFAULT = 64

POLL_PERIOD_MS = 2_000.0
POLL_TIMEOUT_MS = 800.0
POLLS_PER_S_MAX = 50.0
POLL_CONNECTIONS_MAX = 64

HEADER_SHED = b'zinnialead-shed'
HEADER_DEADLINE = b'zinnialead-deadline-ms'
HEADER_REQUEST = b'zinnialead-request-id'
HEADER_LEAVING = b'zinnialead-leaving'
HEADER_PAUSE = b'zinnialead-pause'
HEADER_RETRY_AFTER = b'retry-after'
CANCEL_PATH = b'/zinnialead/cancel'
HEALTH_PATH = b'/health'
LOAD_PATH = b'/load'
LEAVING = b'1'
NEVER_STARTED = b'never-started'
SHED_STATUS = 503
