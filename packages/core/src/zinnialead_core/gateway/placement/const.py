"""Hold the constants of the placement component."""

# Age at which the load that other entries put on an upstream, as it last
# reported, no longer counts.  Where work takes long, it ages as the work does.
REPORTED_LOAD_AGE_MIN_MS = 1_200.0
REPORTED_LOAD_AGE_MAX_MS = 6_000.0
REPORTED_LOAD_AGE_TIMES = 2.5
USUAL_WORK_TIME_PERCENT = 100.0
WORK_TIME_RATIO_MAX = 10.0
# All loads are in requests per slot.  Up to this load an upstream gets more
# work, by rank, the most urgent first: less urgent work leaves slots free,
# urgent work may queue at the upstream.
LOAD_MAX_BY_RANK = (2.2, 1.6, 0.65)
# Below this load an object stays at its preferred upstream.  Above it, the
# object moves only to an upstream below the alternative's limit, since work
# on an object that an upstream has not cached takes three times as long.
PREFERRED_LOAD_MAX_BY_RANK = (1.3, 1.2, 0.65)
ALTERNATIVE_LOAD_MAX_BY_RANK = (0.8, 0.8, 0.5)
# An object uses at most this share of a region's upstreams, and at most
# this many.  On more of them it would evict other objects from their
# caches, and the longer uncached work would keep a full service full.
SPREAD_SHARE = 0.5
SPREAD_MAX = 2
# Outside this spread, only a nearly idle upstream makes up for the longer
# uncached work, and only for urgent requests.
IDLE_LOAD_MAX = 0.4
IDLE_RANK_MAX = 1
# An upstream must be less loaded than the best so far by this much.
LOAD_MARGIN = 0.3
# Orders of a region's upstreams that are kept, by service.
GROUPS_MAX = 5_000
# An upstream is ejected at once if it can't be reached, or after
# ``LOST_BEFORE_EJECTION`` lost requests in a row, and twice as long after
# each further failure.
EJECTION_MIN_MS = 300.0
EJECTION_MAX_MS = 4_000.0
LOST_BEFORE_EJECTION = 2
# An upstream counts as faulty until it has broken no protocol for this time.
FAULTY_MS = 10_000.0
# Weight of the latest value in a moving mean over about ten attempts.
MEAN_WEIGHT = 0.1
# The mean of requests in flight covers about two seconds.
IN_FLIGHT_WEIGHT = 0.25
# The mean service time of a route covers about fifty answers.
SERVICE_TIME_WEIGHT = 0.02
# Failures weigh more: two in a row exceed ``FAILING_MAX``.
FAILURE_WEIGHT = 0.2
FAILING_MAX = 0.35
PACE_MAX = 2.5
# Failure rate and slowness of an upstream decay by this part each balance
# period, to half in two seconds, since an upstream that is avoided has few
# attempts that could show its recovery.
DECAY = 0.16
# Two entries of a region may use a cold upstream, each at half of its rate.
# Where entries disagree on which two, the excess stays within tolerance.
COLD_SENDERS = 2
COLD_WINDOW_MS = 1_000.0
# The remote share moves by these steps each period: in two seconds by less
# than the bound on requests that change their region, 0.15.
BALANCE_PERIOD_MS = 500.0
REMOTE_SHARE_STEP_UP = 0.025
REMOTE_SHARE_STEP_DOWN = 0.015
LOCAL_LOAD_HIGH = 0.8
LOCAL_LOAD_LOW = 0.5
# Local slots below this share of the last count are a loss of capacity, at
# which the remote share jumps to the fair one.
CAPACITY_LOSS_SHARE = 0.8
# Credit for requests that may leave their object's region while it is full.
CREDIT_PER_REQUEST = 0.03
CREDIT_MAX = 3.0
