"""Accept callers' requests and return the responses."""
