"""Hold the constants of the store component."""

# The longest wait that the store takes for a watch is 30 s.
WATCH_WAIT_MS = 25_000
# Changes that come within this time are read by one call.  A leaving
# upstream may get work for 2.5 s after it said so.
WATCH_PAUSE_MS = 300.0
# The first start of a deployment: upstreams register over some seconds, and
# no caller comes before.
FIRST_START_MS = 7_000.0
FIRST_START_PAUSE_MS = 1_500.0
RETRY_MIN_MS = 100.0
# A store that is back is to be known again well within 4 s.
RETRY_MAX_MS = 1_200.0
# Registrations that lapsed in an outage come back within about 2 s.
SETTLE_MS = 2_300.0
# A registration lapses after three heartbeats; a shorter silence of the
# store lets none lapse.
OUTAGE_MIN_MS = 1_500.0
# A change that others know and this entry does not is asked for after this
# time: a watch brings it within its pause.
BEHIND_MS = 450.0
# Then the store is read again, and after this time another entry is asked.
BEHIND_ASK_MS = 900.0
# A store that does not answer this soon after a start is not waited for.
START_ASK_MS = 600.0
# One answer of another entry is waited for before the next one is asked.
ASK_PAUSE_MS = 400.0
