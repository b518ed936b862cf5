"""Hold the constants of the keys component."""

# Entries' clocks may differ by this much.
CLOCK_MARGIN_MS = 2_000.0
KEY_LIFETIME_MS = 600_000.0
NONCE_MAX_CHARS = 128

CLAIM_TIMEOUT_MS = 250.0
ASKS_MAX = 3
# How often a copy that waits for another one's end asks again.
WAIT_RESEND_MS = 1_000.0
WAITERS_MAX = 8

END_TIMEOUT_MAX_MS = 4_000.0
ENDS_MAX = 8
# How long a holder listens for the late outcome of undecided work.
LATE_OUTCOME_MS = 30_000.0

REGISTRATIONS_MAX = 60_000
RECORDED_MAX_BYTES = 16 * 1024 * 1024
RELEASED_MAX = 16

EXPIRY_BUCKET_MS = 10_000.0
EXPIRY_BATCH = 2_000

SHARDS = 16
SHARD_ROWS_MAX = 3_000
BIND_TIMEOUT_MS = 2_000.0
BIND_PAUSE_MS = 50.0
BIND_WAITING_MAX = 500
