"""Hold the constants of the tickets component."""

IN_FORCE = 'in-force'

# To how many entries of its own and of other domains an entry pushes the
# number of a newly adopted state; each that adopts it pushes it in turn.
PUSH_SAME_DOMAIN_COUNT = 4
PUSH_OTHER_DOMAINS_COUNT = 2
ASK_TIMEOUT_MS = 500.0
# By then a peer that lives has been probed and has told its number.
HELD_STATE_MS = 1_500.0

PART_ROWS = 64
PARTS_MAX = 1_024
PARTS_ASKED_MAX = 8
DELTAS_KEPT = 8
# A row takes about 130 bytes: 60 rows a second are below 8 KB/s, and the
# burst serves a state of 400 rows to ten peers within the first second.
SERVED_ROWS_PER_S = 60.0
SERVED_ROWS_BURST = 4_096.0
