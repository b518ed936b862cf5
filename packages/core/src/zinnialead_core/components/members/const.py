"""Hold the constants of the members component."""

PROBE_PERIOD_MS = 500.0
# Periods differ by this share, so that entries do not probe in step.
PROBE_JITTER = 0.1
PROBE_TIMEOUT_MS = 250.0
INDIRECT_TIMEOUT_MS = 250.0
INDIRECT_HELPERS = 3
OPEN_PROBES_MAX = 256
# Peers outside the domain are probed in every second round, and one that
# is taken for dead in every tenth.
ROUNDS_PER_FOREIGN_PROBE = 2
ROUNDS_PER_DEAD_PROBE = 10
ROUNDS_PER_SYNC = 60
ROUNDS_PER_FORGETTING = 120

SUSPICION_MS = 1_000.0
SUSPICION_FOREIGN_MS = 2_500.0
# A round that is this late shows that this entry was paused.
PAUSED_MS = 1_500.0
DEAD_KEPT_MS = 1_800_000.0
MEMBERS_MAX = 4_096

NEWS_MAX = 6
# Each piece of news rides on this many messages times log2 of the members.
NEWS_REPEATS = 3
URGENT_MAX = 8
URGENT_PERIOD_MS = 100.0
URGENT_FANOUT = 3
URGENT_FOREIGN_FANOUT = 1
PAGE_ROWS = 64
PICK_TRIES = 8
