"""Hold the bounds of tickets."""

HISTORY_MAX = 64
SHARES_MAX = 1.0
STATE_FORMAT = 1
