"""Compare scheduling policies on the same seeded arrivals."""
