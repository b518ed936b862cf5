"""Define the constants of the members component."""

PROBE_PERIOD_MS = 500.0
# Each period varies by up to this share, so that entries do not probe in
# lockstep.
PROBE_JITTER = 0.1
PROBE_TIMEOUT_MS = 250.0
INDIRECT_TIMEOUT_MS = 250.0
INDIRECT_PROBERS = 3
OPEN_PROBES_MAX = 256
# A peer outside the domain is probed in every second round, and a dead one
# in every tenth.
ROUNDS_PER_OTHER_DOMAIN_PROBE = 2
ROUNDS_PER_DEAD_PROBE = 10
ROUNDS_PER_SYNC = 60
ROUNDS_PER_CLEANUP = 120

SUSPICION_TIMEOUT_MS = 1_000.0
SUSPICION_TIMEOUT_OTHER_DOMAIN_MS = 2_500.0
# A round that starts this late shows that this process was paused.
LATE_ROUND_MS = 1_500.0
DEAD_RETENTION_MS = 1_800_000.0
MEMBERS_MAX = 4_096

NEWS_ROWS_MAX = 6
# Each changed row is sent this many times log2 of the number of members.
NEWS_REPEATS = 3
URGENT_ROWS_MAX = 8
URGENT_PERIOD_MS = 100.0
URGENT_FANOUT = 3
URGENT_OTHER_DOMAIN_FANOUT = 1
PAGE_ROWS_MAX = 64
RANDOM_PEER_TRIES = 8
