"""Decide when the platform's store is read, watched and written."""
