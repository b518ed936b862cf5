"""Hold the constants of the tickets component."""

IN_FORCE = 'in-force'
