"""Hold the constants of the demonstration."""

MS_PER_S = 1_000.0
HOST = '127.0.0.1'
ENTRIES_PER_DOMAIN = 2
CONNECTIONS_MAX = 256
KEEP_ALIVE_S = 2.0

SETTINGS_FILE = 'entry.json'
FIRST_TICKET = '0001-deployment.json'
DRAIN_TICKET = '0002-drain-upstream.json'

# Steady work over all domains, at a rate below capacity.
CALM_DURATION_S = 4.0
CALM_REQUESTS_PER_S = 25.0
RANK_SHARES = (('urgent', 0.3), ('normal', 0.5), ('night', 0.2))
DEADLINE_MS = 8_000.0

FLOOD_NIGHT_COUNT = 60
FLOOD_URGENT_COUNT = 20
FLOOD_URGENT_SPAN_S = 1.0

POLL_PERIOD_S = 0.02
POLLS_MAX = 500
TICKET_SPREAD_MAX_MS = 7_000.0
DRAIN_MAX_MS = 3_000.0
EXIT_CHECK_FAILED = 1
