"""Read the platform's store, or follow the entries that do."""
