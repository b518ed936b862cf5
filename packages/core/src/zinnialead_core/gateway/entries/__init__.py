"""Track the other entries and select those that callers should use."""
