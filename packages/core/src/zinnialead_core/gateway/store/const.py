"""Hold the constants of the store component."""

# A watch that is opened during an outage of the store may report nothing.
# Including the timeout of the call it ends within 7 s, the limit after an
# outage and for a configuration to take effect.
WATCH_WAIT_MS = 4_000
# The store accepts at most 30 s.
ENTRIES_WATCH_WAIT_MS = 25_000
# Entries of a region that read the store and send changes to the others.
# With two in different failure domains, the loss of one entry or of a domain
# delays no change.
READERS = 2
# With more, a region that no other one can tell of a change bears the loss of
# any two entries.
READERS_ALONE = 4
# Two lost heartbeats of a reader, after which another entry takes over.
READER_SILENCE_MS = 2_500.0
# How often an entry that does not read compares its objects with a reader's:
# a removal while no entry read does not show in later changes.
COMPARE_PERIOD_MS = 10_000.0
# How long an entry leaves reading to others after a failed call.
READER_PENALTY_MS = 4_000.0
# How often an entry checks whether it is a reader.
READER_CHECK_PERIOD_MS = 500.0
# Pauses between watches, in which changes are batched: of the first reader of
# a region, and of the standby.  A leaving upstream may get requests for at
# most 2.5 s after it announced this.
WATCH_PAUSES_MS = (300.0, 900.0)
# Entries announce themselves to each other; the store's list only finds those
# whose announcement was lost.
ENTRIES_PAUSE_MS = 5_000.0
ENTRIES_PERIOD_MS = 30_000.0
# At the first start of a deployment, upstreams register over some seconds, and
# no caller sends requests until then.
FIRST_START_MS = 7_000.0
FIRST_START_PAUSE_MS = 1_500.0
RETRY_MIN_MS = 100.0
# The return of the store must be noticed well within 4 s.
RETRY_MAX_MS = 1_200.0
# Registrations that expired in an outage, and what a restored store has lost,
# are written again within about 2 s.
REMOVAL_DELAY_MS = 2_300.0
# A registration expires after three heartbeats, so a shorter outage of the
# store lets none expire.
OUTAGE_MIN_MS = 1_500.0
# How long a change that another entry has may be missing.  A reader's watch
# reports it within its pause; after the first time a reader lists the kind
# again, and after the second one it requests the change.
BEHIND_MIN_MS = 450.0
BEHIND_REQUEST_MS = 900.0
# An entry that does not read requests it from an entry of its region once the
# changes that readers send must have arrived, and from one of another region
# once its own readers must have read it.  After the last time it lists the
# kind itself.
BEHIND_LOCAL_MS = 150.0
BEHIND_REMOTE_MS = 300.0
BEHIND_READ_MS = 1_600.0
# How often an entry checks whether it still lacks a change.
BEHIND_CHECK_PERIOD_MS = 150.0
# How long a starting entry waits for the store before it queries the seeds.
SEED_QUERY_MS = 600.0
# All entries look for their registration after a restore of the store, over
# this time.
REGISTRATION_SPREAD_MS = 1_000.0
# How long a requested snapshot is awaited before the next request.
REQUEST_PAUSE_MS = 400.0
# How many unreadable objects are remembered, so that each is logged once.
UNREADABLE_MAX = 1_000
