"""Define the constants of the process."""

MS_PER_S = 1_000.0
STOP_LINGER_S = 0.5
# Time to send answers after a second signal.
STOP_FORCED_S = 0.5
# Kept at the end of the grace period to unload the components.
STOP_UNLOAD_S = 0.25
STOP_HOOK_TIMEOUT_S = 2.0
# File descriptors for everything but callers' connections: peers,
# upstreams and the store.
FILES_RESERVED = 4_096
EXIT_FORCED = 1
EXIT_SETTINGS = 3
