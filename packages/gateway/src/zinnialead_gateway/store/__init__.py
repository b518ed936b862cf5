"""Carry out calls to the platform's store."""
