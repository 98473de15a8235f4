"""lacewing_daemon."""
