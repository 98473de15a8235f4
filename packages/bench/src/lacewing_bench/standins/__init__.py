"""standins."""
