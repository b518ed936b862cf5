"""Define the constants of the engine."""

MS_PER_S = 1_000.0
