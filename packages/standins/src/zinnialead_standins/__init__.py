"""Stand in for the store, the upstreams and the callers."""
