"""Hold the constants of the placement component."""

# The load that others put on an upstream is forgotten after this time.
TOLD_MAX_AGE_MS = 1_200.0
# Ranks by urgency: the load, in slots, up to which an upstream gets more
# work.  Less urgent work leaves slots free; urgent work may queue there.
ROOM_BY_RANK = (2.2, 1.6, 0.65)
# Below this load an object stays at its first upstream, and only an
# upstream below the second takes it over: an object that an upstream does
# not remember takes three times as long there.
PREFERRED_ROOM = (1.3, 1.2, 0.65)
OTHER_ROOM = (0.8, 0.8, 0.5)
# An object uses at most this share of a region's upstreams, and so many:
# on more of them it would push others out of their memory, and work that
# nobody remembers keeps a full service full.
SPREAD_SHARE = 0.5
SPREAD_MAX = 2
# Only a nearly idle upstream beyond those is worth its longer work, and
# only to work that is urgent.
IDLE_ROOM = 0.4
IDLE_RANK_MAX = 1
# So much less loaded is an upstream worth a move, in slots.
LOAD_APART = 0.3
ORDERS_MAX = 5_000
# After failures in a row an upstream is left out, twice as long each time.
OUT_MIN_MS = 300.0
OUT_MAX_MS = 4_000.0
LOST_IN_A_ROW = 2
# A moving mean over about the last ten attempts.
MEAN_WEIGHT = 0.1
# The usual service time of a route moves over about fifty answers.
USUAL_WEIGHT = 0.02
# Failures count sooner: two in a row are beyond ``FAILING_MAX``.
FAILURE_WEIGHT = 0.2
FAILING_MAX = 0.35
PACE_MAX = 2.5
# What is held against an upstream fades by this part each balance period,
# to half in two seconds, since one that is avoided can't show itself well.
FADE = 0.16
# Two entries of a region may use a cold upstream, with half of its rate
# each; entries that disagree on who these are stay below the slack.
COLD_KEEPERS = 2
COLD_WINDOW_MS = 1_000.0
# The share abroad moves by these steps each period: in two seconds less
# than the bound on requests that change their region, 0.15.
BALANCE_PERIOD_MS = 500.0
STEP_OUT = 0.025
STEP_HOME = 0.015
BUSY_LOAD = 0.8
IDLE_LOAD = 0.5
# Fewer slots at home than this share of before are a loss, not a change.
LOST_SHARE = 0.8
# Requests that may leave the region out of turn, by request.
OVERFLOW_SHARE = 0.03
OVERFLOW_MAX = 3.0
