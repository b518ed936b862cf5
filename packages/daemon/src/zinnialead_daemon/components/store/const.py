"""Define the constants of the store client."""

MS_PER_S = 1_000.0
# The store ends a watch this long before the deadline of the call.
WATCH_MARGIN_S = 1.0
ANSWER_MAX_BYTES = 2_097_152
OPEN_CALLS_MAX = 64
CONNECTIONS_MAX = 8
VMS_MAX = 4_096
RETRY_AFTER_MAX_S = 30.0
ERA_DIGITS_MAX = 15
