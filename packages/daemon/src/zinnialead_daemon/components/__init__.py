"""Contain the daemon's components, one package each."""
