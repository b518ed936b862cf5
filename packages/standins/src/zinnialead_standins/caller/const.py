"""Define the constants of the caller stand-in."""

MS_PER_S = 1_000.0
ATTEMPTS_MAX = 5
CONNECT_TIMEOUT_S = 0.5
LOOK_UP_TIMEOUT_S = 1.0
# How much longer than the request's deadline a caller waits.
DEADLINE_GRACE_MS = 1_000.0
RETRY_PAUSE_MIN_MS = 20.0
KEEP_ALIVE_S = 2.0
CONNECTIONS_MAX = 512
HEADER_VERDICT = b'zinnialead-verdict'
HEADER_WORK = b'x-work-id'
