"""Tell callers which entries to use, and the platform that this one runs."""
