"""Hold the constants of the metrics."""

PREFIX = 'zinnialead'
MS_PER_S = 1_000.0
# One flush sends at most this many counters; the rest wait for the next.
COUNTERS_PER_FLUSH_MAX = 500
QUANTILES = (0.5, 0.99)
