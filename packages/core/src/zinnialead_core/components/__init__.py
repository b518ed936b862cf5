"""Group the core's components, one folder each."""
