"""Hold the constants of the callers' front."""

REQUEST_PREFIX = b'/v1/services/'
LOOK_UP_PATH = b'/v1/look-up'

HEADER_VERDICT = b'zinnialead-verdict'
HEADER_RANK = b'zinnialead-rank'
HEADER_DEADLINE = b'zinnialead-deadline-ms'
HEADER_KEY = b'idempotency-key'
HEADER_KEY_CREATED = b'idempotency-key-created-ms'
HEADER_TYPE = b'content-type'
HEADER_LENGTH = b'content-length'

TARGET_MAX_BYTES = 4_096
NAME_MAX_BYTES = 128
BODY_MAX_BYTES = 67_108_864
# A body up to this size is held back whole, so that it can be sent again.
BODY_BUFFER_BYTES = 65_536
CHUNKS_MAX = 4
LOOK_UP_MAX_BYTES = 1_048_576
QUESTIONS_MAX = 1_000

DEADLINE_DEFAULT_MS = 10_000.0
# The longest time that a caller may give; a service's own bound is lower.
DEADLINE_MAX_MS = 3_600_000.0
# The core decides every request by its deadline; this is for a fault.
UNDECIDED_GRACE_MS = 5_000.0
MS_PER_S = 1_000.0
# The timers of the last requests, until the metrics take them.
TIMINGS_MAX = 10_000
RANK_NOT_GIVEN = 'default'
