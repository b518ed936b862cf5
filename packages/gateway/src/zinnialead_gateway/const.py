"""Hold the constants of the process."""

MS_PER_S = 1_000.0
# A stopping entry goes on serving until callers have other addresses; what
# is left of the grace covers the last answers.
STOP_SERVE_SHARE = 0.75
# The last twelfth of the grace is left to end in.
STOP_END_SHARE = 11 / 12
SETTINGS_PERIOD_S = 5.0
# Descriptors that the platform keeps for files, and ours to upstreams.
DESCRIPTORS_KEPT = 400
