"""Serve counters and latency histograms."""
