"""Define the constants of the logs."""

LINES_PER_S_MAX = 20.0
LINES_BURST_MAX = 200.0
CHANGE = 'zinnialead:change'
DUMP = 'zinnialead:dump'
