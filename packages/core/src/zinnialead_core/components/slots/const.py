"""Hold the constants of the slots component."""

ASK_TIMEOUT_MS = 250.0
ASK_TIMEOUT_MAX_MS = 1_000.0
# The pause between askings doubles this often.
ROUNDS_MAX = 2
# An owner that leaves an ask this often without a word is passed over.
ASK_MISSES_MAX = 2
HELD_PERIOD_MS = 1_000.0
# A slot whose holder has not renewed it for this long is taken back.
GRANT_LEASE_MS = 4_000.0
# A new owner waits this long for reports of slots in use.
TAKEOVER_MS = 300.0
# An owner is worked out anew from the members this often.
OWNER_CACHE_MS = 50.0
RECHECK_MS = 100.0
SERVICE_TIME_WEIGHT = 0.05
SERVICE_TIME_DEVIATIONS = 5.0
SPARE_SHARE = 0.5
ARRIVALS_WINDOW_MS = 2_000.0
# A timeout after this many service times is the upstream's failure.
AMPLE_SERVICE_TIMES = 5.0
FLOOR_CREDIT_DUE = 0.5
# Floors are shares of all the time of slots, which are idle for a round
# trip between two uses.
FLOOR_MARGIN = 1.05
FLOOR_CREDIT_MAX = 4.0
SHARE_MIN = 0.01
QUEUE_MAX = 100
QUEUE_FULL_RETRY_MS = 1_000.0
