"""Define the constants of the command line."""

import enum

STORE_VARIABLE = 'ZINNIALEAD_STORE'
ENTRIES_VARIABLE = 'ZINNIALEAD_ENTRIES'
TOKEN_VARIABLE = 'ZINNIALEAD_TOKEN'  # noqa: S105 (a name, not a token)
STATE_OBJECT = 'state'
CALL_TIMEOUT_MS = 5_000.0
# The body of a response, and the time that it takes in all.
BODY_BYTES_MAX = 67_108_864
BODY_TIMEOUT_MS = 20_000.0
WATCH_PERIOD_MS = 2_000.0
MS_PER_S = 1_000.0


class ExitCode(enum.IntEnum):
    """Define the exit status of commands."""

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    REFUSED = 3
    LOST_RACE = 4
    UNKNOWN = 5
    UNREACHABLE = 6
