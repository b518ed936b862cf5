"""Hold the configuration in force and match requests to routes."""
