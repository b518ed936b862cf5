"""Take callers' requests in, and give them their answers."""
