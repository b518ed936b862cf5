"""Exchange heartbeats with other entries."""
