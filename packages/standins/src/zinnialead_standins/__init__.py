"""Simulate the store, the upstreams and the callers."""
