"""Hold the constants of the steering component."""

LOAD_PERIOD_MS = 500.0
# A load report older than this is not believed.
LOAD_STALE_MS = 3_000.0
# Without a fresh report, one ask in this period finds out.
TRIAL_PERIOD_MS = 100.0
# A domain that refused an ask is left alone for this long.
REFUSED_PAUSE_MS = 50.0
# What an ask to another domain costs: two round trips and a margin.
SIBLING_COST_MS = 4.0
REGION_COST_MS = 150.0
DOMAINS_TRIED_MAX = 2
# For work whose own domain has no upstream.
DOMAINS_TRIED_HOMELESS_MAX = 4

MS_PER_S = 1_000.0
# Grants are counted here and dispatched a network delay later; the longer
# window keeps any second at the upstreams under the cap.
SHIFT_WINDOW_MS = 1_100.0
# A new owner waits this long before it lets in shifts: the window, and
# the time in which the owner before learns that it is cut off.
SHIFT_HOLD_MS = 3_600.0
# What the ranks after the first one may use of a cap.
OTHER_RANKS_SHARE = 0.8
ANSWER_BYTES_FIRST = 16_384.0
ANSWER_BYTES_WEIGHT = 0.05
