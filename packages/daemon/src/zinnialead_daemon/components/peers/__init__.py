"""Carry the messages between entries over TCP."""
