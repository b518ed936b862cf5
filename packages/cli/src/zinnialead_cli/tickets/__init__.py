"""Check, plan and file tickets, and show the state in force."""
