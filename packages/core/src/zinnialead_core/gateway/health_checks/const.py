"""Hold the constants of the health checks component."""

# Pauses between the checks of an upstream that does not answer, from the first
# one, doubled each time.
RETRY_MIN_MS = 200.0
RETRY_MAX_MS = 1_000.0
# The longest time that an upstream is believed to stay cold.
COLD_MAX_MS = 30_000.0
