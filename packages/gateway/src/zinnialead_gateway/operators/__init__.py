"""Answer operators: metrics, state dump, what is in force."""
