"""Serve callers' look-ups and the platform's readiness checks."""
