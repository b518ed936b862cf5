"""Contain the core's components, one package each."""
