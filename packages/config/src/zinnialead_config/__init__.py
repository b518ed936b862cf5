"""Read settings and tickets, checked on load."""
