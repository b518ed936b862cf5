"""Run an entry: callers, upstreams, the store and other entries."""
