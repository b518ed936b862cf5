"""Group the daemon's components, one folder each."""
