"""Hold the constants of the entries component."""

HEARTBEAT_PERIOD_MS = 1_000.0
# Only the entries that rank first in a region send heartbeats to other
# regions, and only in every second round: traffic between regions is the most
# expensive, and remote entries are given only to callers of their region.
REMOTE_SENDERS = 4
SPARSE_ROUND_INTERVAL = 2
# Entries of each other region that a reader tells of a change at once.  In
# three, spread over domains, one is left after the loss of any two entries or
# of a domain.
REMOTE_CONTACTS = 3
# An entry with a lower request rate counts as unused by callers, and sends
# heartbeats only in every second round.
USED_MIN_PER_S = 0.5
# Callers may be given a dead entry for at most 7 s; the remote limit spans
# three heartbeats, one of them lost.
SILENCE_MAX_MS = 4_200.0
REMOTE_SILENCE_MAX_MS = 6_200.0
# Many times the longest planned restart (graceful stop and start).
REMOVE_AFTER_MS = 25_000.0
# The most addresses that a look-up answer may hold.
ADDRESSES_MAX = 64
# Callers need a second entry when one dies.
ADDRESSES_MIN = 2
# Upper bound of the processor time of a request.  Callers' requests may take
# half of an entry's time: bursts of twice the usual traffic are common.
REQUEST_COST_MS = 3.0
CALLERS_SHARE_MAX = 0.5
# Smallest ratio of an entry's request rate to that of the round before.
TRAFFIC_DECAY = 0.7
MS_PER_S = 1_000.0
# Fewer live entries in a domain can't serve its callers alone.
DOMAIN_ENTRIES_MIN = 3
