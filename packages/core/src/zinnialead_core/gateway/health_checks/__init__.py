"""Check upstreams whose run may have ended before they get requests."""
