"""Hold the constants of the tickets component."""

IN_FORCE = 'in-force'

# Whom a newly adopted number is pushed to; each of them pushes it further.
PUSH_NEAR = 4
PUSH_FAR = 2
ASK_TIMEOUT_MS = 500.0

PART_ROWS = 64
PARTS_MAX = 1_024
PARTS_ASKED_MAX = 4
DELTAS_KEPT = 8
# A row takes about 130 bytes, so that this is below 17 KB a second.
SERVED_ROWS_PER_S = 100.0
SERVED_ROWS_BURST = 320.0
MS_PER_S = 1_000.0
