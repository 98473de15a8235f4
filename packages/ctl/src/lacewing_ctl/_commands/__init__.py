"""Hold what changes something."""
