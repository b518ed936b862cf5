"""Define the constants of the callers' front end."""

REQUEST_PREFIX = b'/v1/services/'
LOOK_UP_PATH = b'/v1/look-up'

HEADER_VERDICT = b'zinnialead-verdict'
HEADER_RANK = b'zinnialead-rank'
HEADER_DEADLINE = b'zinnialead-deadline-ms'
HEADER_KEY = b'idempotency-key'
HEADER_KEY_CREATED = b'idempotency-key-created-ms'
HEADER_TYPE = b'content-type'
HEADER_LENGTH = b'content-length'
NOT_RUN_HEADER = (HEADER_VERDICT, b'not-run')
CLOSE_HEADER = (b'connection', b'close')

TARGET_MAX_BYTES = 4_096
NAME_MAX_BYTES = 128
BODY_MAX_BYTES = 67_108_864
# Bodies up to this size are buffered completely, so that they can be resent.
BODY_BUFFER_BYTES = 65_536
CHUNKS_MAX = 4
LOOK_UP_MAX_BYTES = 1_048_576
QUESTIONS_MAX = 1_000

DEADLINE_DEFAULT_MS = 10_000.0
# Longest deadline that a caller may set; a service's own limit is lower.
DEADLINE_MAX_MS = 3_600_000.0
# The core decides every request by its deadline. If a fault prevents that,
# the caller gets a refusal this long after the deadline.
UNDECIDED_GRACE_MS = 5_000.0
# A look-up whose body is being read when a stop begins has this long left.
STOP_READ_S = 0.25
MS_PER_S = 1_000.0
# Request timings kept until the metrics component collects them.
TIMINGS_MAX = 10_000
RANK_NOT_GIVEN = 'default'
