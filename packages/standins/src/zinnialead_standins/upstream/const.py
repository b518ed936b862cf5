"""Define the constants of the upstream stand-in."""

MS_PER_S = 1_000.0
BODY_MAX_BYTES = 67_108_864
HEALTH_PATH = '/health'
LOAD_PATH = '/load'
CANCEL_PATH = '/zinnialead/cancel'
HEADER_WORK = b'x-work-id'
HEADER_KEY = b'idempotency-key'
HEADER_REQUEST = b'zinnialead-request-id'
HEADER_DEADLINE = b'zinnialead-deadline-ms'
HEADER_SHED = b'zinnialead-shed'
HEADER_LEAVING = b'zinnialead-leaving'
HEADER_PAUSE = b'zinnialead-pause'
NEVER_STARTED = b'never-started'
STARTED = b'started'
# How much shorter a truncated answer is than its content-length.
TRUNCATED_BYTES = 1
REQUESTS_REMEMBERED_MAX = 100_000
