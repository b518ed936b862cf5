"""Hold the constants of the tickets component."""

IN_FORCE = 'in-force'

# Whom a newly adopted number is pushed to; each of them pushes it further.
PUSH_NEAR = 4
PUSH_FAR = 2
ASK_TIMEOUT_MS = 500.0

PART_ROWS = 64
PARTS_MAX = 1_024
PARTS_ASKED_MAX = 8
DELTAS_KEPT = 8
# A row takes about 130 bytes: 60 a second are below 8 KB, and the burst
# gives ten peers a state of 400 rows in the first second of a ticket.
SERVED_ROWS_PER_S = 60.0
SERVED_ROWS_BURST = 4_096.0
