"""Send calls to the platform's store."""
