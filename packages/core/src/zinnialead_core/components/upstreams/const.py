"""Hold the constants of the upstreams component."""

# Attempts in a row that fail before an upstream is left out.
FAILURES_MAX = 5
LEFT_OUT_MS = 2_000.0
LEFT_OUT_MAX_MS = 4_000.0
# At most this share of a service's upstreams in a domain is left out.
LEFT_OUT_SHARE_MAX = 0.5
# An answer from here this lately counts for more than told ill health.
PROOF_MS = 2_000.0
# A new or returned upstream comes to its full slots over this time.
RAMP_MS = 4_000.0
# A shed cuts the believed slots to this share of those in use; they
# come back at one slot a period.
SHED_SHARE = 0.75
SHED_PERIOD_MS = 100.0
RECOVERY_MS_PER_SLOT = 500.0
# A report older than this, or the same value this often, is not believed.
REPORT_STALE_MS = 3_000.0
REPORT_FROZEN_COUNT = 5
# Told work that was not granted here takes at most this share of slots.
EXCESS_SHARE_MAX = 0.5
TIMES_OUT_MAX = 1
