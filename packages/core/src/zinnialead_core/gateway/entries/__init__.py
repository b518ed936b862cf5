"""Find the other entries and say which of them callers may use."""
