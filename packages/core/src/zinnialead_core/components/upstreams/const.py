"""Hold the constants of the upstreams component."""

# An upstream is ejected after this many failed attempts in a row.
FAILURES_MAX = 5
EJECTION_MS = 2_000.0
EJECTION_MAX_MS = 4_000.0
# At most this share of a service's upstreams in a domain is ejected.
EJECTED_SHARE_MAX = 0.5
# An upstream that answered this entry within this time is not ejected
# for reporting itself unhealthy.
ANSWER_TRUST_MS = 2_000.0
# A new or returned upstream ramps up to all its slots over this time.
RAMP_MS = 4_000.0
# A shed request lowers the usable slots to this share of those in use,
# at most once a period; one slot is restored each RECOVERY_MS_PER_SLOT.
SHED_SHARE = 0.75
SHED_PERIOD_MS = 100.0
RECOVERY_MS_PER_SLOT = 500.0
# A load report is ignored once it is older than this, or once the same
# value was repeated this many times in a row.
REPORT_STALE_MS = 3_000.0
REPORT_FROZEN_COUNT = 5
# Reported work that was not granted here takes at most this share of
# the declared slots.
EXCESS_SHARE_MAX = 0.5
# An announcement counts as older than a poll of another entry if it is so by
# more than the time that a message takes.
NOTICE_MARGIN_MS = 500.0
# Each ejection in a row doubles the next one, this many times at most.
EJECTIONS_MAX = 1
