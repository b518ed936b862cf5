"""Track the registered upstreams and the drained domains."""
