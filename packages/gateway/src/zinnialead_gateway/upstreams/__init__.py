"""Send attempts to upstreams."""
