"""Hold the constants of the placement component."""

# The load that others put on an upstream is forgotten after this time.
TOLD_MAX_AGE_MS = 1_200.0
# Ranks by urgency: the load, in slots, up to which an upstream gets more
# work.  Less urgent work leaves slots free; urgent work may queue there.
ROOM_BY_RANK = (2.2, 1.6, 0.9)
# Below this load an object stays at its first upstream.
PREFERRED_ROOM = (1.0, 1.0, 0.7)
ORDERS_MAX = 5_000
# After failures in a row an upstream is left out, twice as long each time.
OUT_MIN_MS = 300.0
OUT_MAX_MS = 4_000.0
LOST_IN_A_ROW = 2
# A moving mean over about the last ten attempts.
MEAN_WEIGHT = 0.1
FAILING_MAX = 0.35
PACE_MAX = 2.5
# Two entries of a region may use a cold upstream, with half of its rate
# each; entries that disagree on who these are stay below the slack.
COLD_KEEPERS = 2
COLD_WINDOW_MS = 1_000.0
# The share abroad moves so slowly that two seconds stay below half of the
# bound on requests that change their region.
BALANCE_PERIOD_MS = 500.0
BALANCE_STEP = 0.015
BUSY_LOAD = 1.05
IDLE_LOAD = 0.75
# Requests that may leave the region out of turn, by request.
OVERFLOW_SHARE = 0.03
OVERFLOW_MAX = 3.0
