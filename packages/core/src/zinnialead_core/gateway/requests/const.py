"""Hold the constants of the requests component."""

# More concurrent requests than this can't be answered in time.  A row and
# its bodies take some 20 KB of the process's 222 MB.
REQUESTS_MAX = 3_000
QUEUE_LENGTH_MAX = 400
# Longest time in the queue, as a share of the target time.  A refusal after
# more than an eighth of the target harms the caller, but an answer after a
# longer wait does not.
QUEUE_TIME_SHARE_OF_TARGET = 0.2
# With less than this share of the target left, a retry is not worth it.
RETRY_TIME_SHARE_OF_TARGET = 0.1
# Least time after which a refused caller is told to retry.
RETRY_AFTER_MIN_MS = 150.0
RETRY_AFTER_SHARE_OF_LEFT = 0.25
# Callers of requests that no upstream can take return over this time for each
# rank, from the moment at which one can.
RETURN_SPREAD_MS = 150.0
# Entries use only this share of the retry budget, since upstreams count
# retries when they arrive and entries when they send.
BUDGET_SHARE = 0.7
SECOND_MS = 1_000.0
# Bounds all attempts.  Those whose connection can't be opened send nothing
# and don't count towards a route's ``attempts_max``.
ATTEMPTS_MAX = 4
# Longest idle time of a connection that is reused.  If the upstream closes
# it while the request is sent, the outcome is unknown, so that a request
# that is not idempotent can't be sent again.
IDLE_MAX_NON_IDEMPOTENT_MS = 2_500.0
IDLE_MAX_IDEMPOTENT_MS = 8_000.0
DEADLINE_DEFAULT_MS = 10_000.0
# A stopping entry has answered every request after this share of the grace
# period; the rest covers writing the last answers.
STOP_ANSWER_SHARE = 0.9
# In the first part of the grace period, a stopping entry also admits requests
# whose deadline is later, if it expects to finish them.
STOP_ADMIT_SHARE = 0.4
STOP_ADMIT_MAX_MS = 2_400.0
# Work is expected to take up to this multiple of its usual time.
STOP_SERVICE_TIMES = 2.0
# Other entries can serve a request that a stopping one refuses at once.
STOP_RETRY_AFTER_MS = 50.0
