"""Serve metrics, the state dump and the active configuration."""
