"""Carry out attempts at upstreams."""
