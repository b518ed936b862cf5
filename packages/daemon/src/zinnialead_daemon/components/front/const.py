"""Hold the constants of the callers' front."""

REQUEST_PREFIX = '/v1/services/'
LOOK_UP_PATH = '/v1/look-up'
HEADER_VERDICT = b'zinnialead-verdict'
HEADER_RANK = b'zinnialead-rank'
HEADER_DEADLINE = b'zinnialead-deadline-ms'
HEADER_KEY = b'idempotency-key'
HEADER_KEY_CREATED = b'idempotency-key-created-ms'
PROBLEM_TYPE = b'application/problem+json'
BODY_MAX_BYTES = 1_048_576
DEADLINE_DEFAULT_MS = 10_000.0
