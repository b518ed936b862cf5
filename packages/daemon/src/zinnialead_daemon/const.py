"""Define the constants of the process."""

MS_PER_S = 1_000.0
# Limit for sending responses once every request has been decided.
STOP_TIMEOUT_S = 30.0
STOP_LINGER_S = 0.5
STOP_HOOK_TIMEOUT_S = 2.0
# File descriptors for everything but callers' connections: peers,
# upstreams and the store.
FILES_RESERVED = 4_096
EXIT_FORCED = 1
EXIT_SETTINGS = 3
