"""Hold the active configuration and match requests to its routes."""
