"""Hold what only reads."""
