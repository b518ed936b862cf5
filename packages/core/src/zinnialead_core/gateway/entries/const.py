"""Hold the constants of the entries component."""

BEAT_PERIOD_MS = 1_000.0
# Entries of other regions get each second beat: bytes between regions are
# the dearest, and only a region without live entries names them.
FOREIGN_ROUNDS = 2
# A dead entry may be named for 7 s; three foreign beats and one lost.
SILENCE_MAX_MS = 4_200.0
FOREIGN_SILENCE_MAX_MS = 6_200.0
# A registration is removed when its entry was silent for many times the
# longest planned restart (grace and start).
REMOVE_AFTER_MS = 25_000.0
# As many addresses as an answer may hold.
ADDRESSES_MAX = 64
# Fewer live entries in a domain than this can't take its callers alone.
DOMAIN_ENTRIES_MIN = 3
