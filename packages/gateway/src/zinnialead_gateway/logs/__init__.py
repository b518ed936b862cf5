"""Write structured logs to standard output, within a bounded rate."""
