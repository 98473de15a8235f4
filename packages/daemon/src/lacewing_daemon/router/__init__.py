"""router."""
