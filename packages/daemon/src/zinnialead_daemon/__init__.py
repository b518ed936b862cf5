"""Implement the daemon that runs on every entry VM."""
