"""Route by perfect knowledge of caches and load: the bench's limit."""
