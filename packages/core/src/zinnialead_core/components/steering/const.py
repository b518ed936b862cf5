"""Define the constants of the steering component."""

LOAD_PERIOD_MS = 500.0
# Older load reports are ignored.
LOAD_STALE_MS = 3_000.0
# Without a recent report, a domain is probed with one ask per period.
STALE_ASK_PERIOD_MS = 100.0
# A domain that refused an ask gets no further asks for this long.
REFUSED_PAUSE_MS = 50.0
# Cost of an ask to another domain: two round trips and a margin.
SIBLING_COST_MS = 4.0
REGION_COST_MS = 150.0
DOMAINS_TRIED_MAX = 2
# Applies to work whose own domain has no upstream.
DOMAINS_TRIED_NO_UPSTREAM_MAX = 4

MS_PER_S = 1_000.0
# Shifts are counted at the grant and dispatched a network delay later; a
# window of over a second keeps any second at the upstreams under the cap.
SHIFT_WINDOW_MS = 1_100.0
# A new owner admits no shifts for this long: the window, and the time
# until the previous owner detects that it is partitioned.
NEW_OWNER_PAUSE_MS = 3_600.0
# Share of a cap that ranks other than the most urgent one may use.
OTHER_RANKS_SHARE = 0.8
ANSWER_BYTES_DEFAULT = 16_384.0
ANSWER_BYTES_WEIGHT = 0.05
