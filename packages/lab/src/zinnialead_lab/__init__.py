"""Show, measure and fuzz the system on one machine."""
