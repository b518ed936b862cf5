"""Hold the constants of the benches."""

ENTRIES_PER_DOMAIN = 4
IDEMPOTENT_SERVICE_TIME_MS = 100.0
NON_IDEMPOTENT_SERVICE_TIME_MS = 250.0
MS_PER_S = 1_000.0
# Start of the faults, their repair, and the end of arrivals.
LONG_TIMES_MS = (3_000.0, 7_000.0, 10_000.0)
SHORT_TIMES_MS = (700.0, 2_200.0, 2_500.0)
# Time after the last arrival in which every deadline and timeout expires.
COOL_DOWN_MS = 8_000.0
# Lets queues fill before a flood is measured or a rolling replacement starts.
WARM_UP_MS = 1_000.0
LOADS = (0.5, 0.7, 0.8, 0.9, 0.95)
FAULT_LOAD = 0.7
FLOOD_FACTOR = 3.0
RANK_SHARES = {'urgent': 0.3, 'normal': 0.5, 'night': 0.2}
DEADLINES_MS = {'urgent': 2_000.0, 'normal': 4_000.0, 'night': 6_000.0}
ERLANG_LOAD = 0.9
ERLANG_DURATION_MS = 1_200_000.0
ERLANG_SHORT_DURATION_MS = 60_000.0
ERLANG_DEADLINE_MS = 30_000.0
# At FAULT_LOAD, this share of a region's capacity is free for shifted work.
SHIFT_CAP_SHARE = 0.3
# A response sent by the deadline may reach its caller this much later.
RESPONSE_TRAVEL_MAX_MS = 6.0
WORKERS_MAX = 4
HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_DIGITS = 3
US_PER_MS = 1_000.0
WAIT_RATIO_MAX = 1.5
FLOOD_P99_RATIO_MAX = 1.5
FLOOR_RATIO_MIN = 0.95
GOODPUT_MIN = 0.95
SENDS_PER_ACCEPTED_MAX = 1.1
LAST_START_MAX_MS = 3_000.0
DRAIN_MARGIN_MS = 1_000.0
TICKET_SPREAD_MAX_MS = 7_000.0
JOIN_MAX_MS = 10_000.0
