"""Compare ways of deciding, each on the same seeded arrivals."""
