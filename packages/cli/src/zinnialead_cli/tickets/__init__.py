"""Check, plan, file and read back tickets."""
