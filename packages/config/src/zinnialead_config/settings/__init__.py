"""Read the settings of one entry."""
