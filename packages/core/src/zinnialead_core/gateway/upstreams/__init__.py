"""Hold the upstreams that registered, and the domains that are drained."""
