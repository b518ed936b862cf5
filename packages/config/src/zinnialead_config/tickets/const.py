"""Define the bounds of tickets and the format of the state."""

HISTORY_MAX = 64
FLOOR_SHARES_SUM_MAX = 1.0
STATE_FORMAT = 1
PORT_MAX = 65_535
