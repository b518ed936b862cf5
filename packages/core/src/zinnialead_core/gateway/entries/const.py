"""Hold the constants of the entries component."""

BEAT_PERIOD_MS = 1_000.0
# Entries of other regions get each second beat, and only of those first in
# their own: bytes between regions are the dearest, and an entry names others
# than its own region's only to callers from there.
SPEAKERS = 4
SPARSE_ROUNDS = 2
# With fewer requests a second an entry is not one that callers use, and
# beats each second round only.
CALLERS_MIN_PER_S = 0.5
# A dead entry may be named for 7 s; three foreign beats and one lost.
SILENCE_MAX_MS = 4_200.0
FOREIGN_SILENCE_MAX_MS = 6_200.0
# A registration is removed when its entry was silent for many times the
# longest planned restart (grace and start).
REMOVE_AFTER_MS = 25_000.0
# As many addresses as an answer may hold.
ADDRESSES_MAX = 64
# Callers need another entry when one dies.
NAMED_MIN = 2
# The most that a request may cost, of which callers' requests may take half:
# bursts of twice the usual traffic are common.
REQUEST_COST_MS = 3.0
USED_SHARE = 0.5
TRAFFIC_FADE = 0.7
MS_PER_S = 1_000.0
# Fewer live entries in a domain than this can't take its callers alone.
DOMAIN_ENTRIES_MIN = 3
