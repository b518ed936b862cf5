"""Define the constants of the metrics."""

PREFIX = 'zinnialead'
MS_PER_S = 1_000.0
# Limit of counters per flush; the next flush sends the rest.
COUNTERS_PER_FLUSH_MAX = 500
QUANTILES = (0.5, 0.99)
