"""Load the settings of one entry."""
