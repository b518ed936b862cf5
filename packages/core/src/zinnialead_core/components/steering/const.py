"""Hold the constants of the steering component."""

LOAD_PERIOD_MS = 1_000.0
# A load report older than this is not believed.
LOAD_STALE_MS = 5_000.0
