"""Hold the constants of the store component."""

# A watch that was opened while the store was silent hears nothing more: it
# ends, with the time for an answer, within 7 s (the time after an outage,
# and the time in which a configuration is to be in force).
WATCH_WAIT_MS = 4_000
# The longest wait that the store takes is 30 s.
ENTRIES_WAIT_MS = 25_000
# Entries of a region that read the store and tell the others: two, so that
# the death of one delays no change.
READERS = 2
# Two heartbeats of a reader that were lost; another entry reads then.
READER_SILENCE_MS = 2_500.0
# An entry that does not read compares what it knows with a reader this
# often: what was removed while nobody read shows in no later change.
COMPARE_PERIOD_MS = 10_000.0
# An entry that the store turned away leaves reading to others for so long.
READER_PENALTY_MS = 4_000.0
# How often an entry looks whether it is to read.
READER_PERIOD_MS = 500.0
# Changes that come within this time are read by one call: the first reader
# of a region, then the one that stands by.  A leaving upstream may get work
# for 2.5 s after it said so.
WATCH_PAUSES_MS = (300.0, 900.0)
# Entries announce themselves; the store's list of them only finds again
# those that no announcement reached.
ENTRIES_PAUSE_MS = 5_000.0
ENTRIES_PERIOD_MS = 30_000.0
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
# Then a reader reads the store again, and any other entry asks one of its
# region; after this time it asks any entry, and last the store.
BEHIND_ASK_MS = 900.0
BEHIND_READ_MS = 1_600.0
# A store that does not answer this soon after a start is not waited for.
START_ASK_MS = 600.0
# One answer of another entry is waited for before the next one is asked.
ASK_PAUSE_MS = 400.0
