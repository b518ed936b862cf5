"""Define the constants of the keys component."""

# Largest difference allowed between the clocks of two entries.
CLOCK_MARGIN_MS = 2_000.0
KEY_LIFETIME_MS = 600_000.0
NONCE_MAX_CHARS = 128

CLAIM_TIMEOUT_MS = 250.0
CLAIM_TRIES_MAX = 3
# Period at which a copy that waits for another one asks again.
WAIT_RESEND_MS = 1_000.0
WAITERS_MAX = 8

END_TIMEOUT_MAX_MS = 4_000.0
END_TRIES_MAX = 8
# How long a holder waits for the late outcome of undecided work.
LATE_OUTCOME_WAIT_MS = 30_000.0

REGISTRATIONS_MAX = 60_000
RECORDS_MAX_BYTES = 16 * 1024 * 1024
RELEASED_CLAIMS_MAX = 16

EXPIRY_BUCKET_MS = 10_000.0
EXPIRY_BATCH_ROWS = 2_000

SHARDS = 16
SHARD_ROWS_MAX = 3_000
BIND_TIMEOUT_MS = 2_000.0
BIND_RETRY_MS = 50.0
BIND_WAITING_MAX = 500
# Entries write back what a restored store has lost, spread over this time.
RESTORE_JITTER_MS = 1_000.0
RESTORE_RETRY_MS = 1_000.0
