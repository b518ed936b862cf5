"""Run the process that stands on every entry VM."""
