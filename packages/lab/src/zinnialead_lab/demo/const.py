"""Hold the constants of the demonstration."""

MS_PER_S = 1_000.0
HOST = '127.0.0.1'
ENTRIES_PER_DOMAIN = 2
CONNECTIONS_MAX = 256
KEEP_ALIVE_S = 2.0

SETTINGS_FILE = 'entry.json'
FIRST_TICKET = '0001-deployment.json'
DRAIN_TICKET = '0002-drain-upstream.json'

# Work of the calm part, over all domains.
CALM_S = 4.0
CALM_PER_S = 25.0
RANK_SHARES = (('urgent', 0.3), ('normal', 0.5), ('night', 0.2))
DEADLINE_MS = 8_000.0

FLOOD_NIGHT = 60
FLOOD_URGENT = 20
FLOOD_SPREAD_S = 1.0

POLL_S = 0.02
POLLS_MAX = 500
IN_FORCE_BOUND_MS = 7_000.0
DRAIN_BOUND_MS = 3_000.0
EXIT_BROKEN = 1
