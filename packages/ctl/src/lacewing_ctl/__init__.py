"""lacewing_ctl."""
