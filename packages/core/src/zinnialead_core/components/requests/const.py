"""Define the constants of the requests component."""

# Tokens that each accepted request adds to the retry budget: one retry
# per ten requests limits the attempts at upstreams to 1.1 per request.
RETRY_TOKENS_PER_REQUEST = 0.1
RETRY_TOKENS_START = 0.0
RETRY_TOKENS_MAX = 10.0
RETRY_BACKOFF_MS = 5.0
RETRY_BACKOFF_MAX_MS = 200.0
ATTEMPTS_MAX = 3
REQUESTS_MAX = 20_000
# How long an entry that was asked to stop may still run.
STOP_GRACE_MS = 30_000.0
# The last part of that time is for cancelled attempts and for answers.
STOP_RESERVE_MS = 2_000.0
STOP_CANCEL_MS = 1_000.0
# An attempt that has not ended this long after its request's deadline is
# given up.
ENDING_MAX_MS = 30_000.0
