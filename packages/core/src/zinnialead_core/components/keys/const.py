"""Hold the constants of the keys component."""

# A record outlives the last deadline of its key by this much, which
# covers clocks that differ between entries.
CLOCK_MARGIN_MS = 2_000.0
KEY_LIFETIME_MS = 600_000.0
CLAIM_TIMEOUT_MS = 250.0
REGISTRATIONS_MAX = 200_000
