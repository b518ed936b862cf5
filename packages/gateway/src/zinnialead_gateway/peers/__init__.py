"""Exchange heartbeats and store changes with other entries."""
