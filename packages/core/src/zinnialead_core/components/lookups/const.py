"""Define the constants of the look-ups component."""

CHOICES_MAX = 4
# Of CHOICES_MAX; one more goes to the second nearest domain and one to
# another region.
NEAREST_CHOICES = 2
ANSWER_LIFETIME_MS = 10_000.0
# For answers with a key prefix that names no witness.
NO_WITNESS_LIFETIME_MS = 1_000.0

# Clients are hashed to this many starting points in a domain.
ROTATIONS = 32
# An entry that has recovered may be missing from cached selections for
# this long.
SELECTION_MAX_AGE_MS = 5_000.0

IPV4_BITS = 32
# Blocks are matched by the routed half of an IPv6 address only.
IPV6_BITS = 64
# Fits the 16-bit arrays of a block table.
DOMAIN_INDEX_MAX = 65_535
