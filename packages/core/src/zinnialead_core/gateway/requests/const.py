"""Hold the constants of the requests component."""

# More requests in hand than this can't be answered within their time; a
# row and its bodies take some 20 KB of the process's 222 MB.
ROWS_MAX = 3_000
WAITING_MAX = 400
# A caller that is refused later than an eighth of its target is worse off,
# one that is served is not.
WAIT_SHARE_OF_TARGET = 0.2
# The work is not begun with less than this share of the target left.
USEFUL_SHARE_OF_TARGET = 0.1
# What a caller is told to wait before it comes back, at the least.
RETRY_AFTER_MIN_MS = 150.0
RETRY_AFTER_SHARE_OF_LEFT = 0.25
# Entries keep to this part of the retry budget, since upstreams count
# repeats when they arrive and entries when they send.
BUDGET_PART = 0.7
SECOND_MS = 1_000.0
# Connections that can't be opened send nothing; so many are tried.
CONNECTS_MAX = 4
# Work that runs once goes only on connections used this lately: one that
# its upstream closes as the request is sent leaves its end unknown.
IDLE_ONCE_MS = 2_500.0
IDLE_ANY_MS = 8_000.0
DEADLINE_DEFAULT_MS = 10_000.0
