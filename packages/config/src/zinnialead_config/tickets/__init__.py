"""Load and validate tickets, and apply them to the state."""
