"""Speak HTTP/1.1 with callers, upstreams and the store."""
