"""Hold the constants of the look-ups component."""

CHOICES_MAX = 4
# Of these, the places of the nearest domain; one is its sibling's, and
# one another region's.
NEAR = 2
LIFETIME_MS = 10_000.0
# For answers whose keys have no witness.
LIFETIME_ALONE_MS = 1_000.0

# Clients are told apart by this many places to start from in a domain.
TURNS = 32
# A kept choice may leave out an entry that is well again for this long.
CHOSEN_MAX_AGE_MS = 5_000.0

IPV4_BITS = 32
# IPv6 blocks are told apart by the routed half of the address.
IPV6_BITS = 64
SITES_MAX = 65_535
