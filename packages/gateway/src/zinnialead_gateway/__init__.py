"""Run an entry: callers' HTTP, upstreams, store, other entries."""
