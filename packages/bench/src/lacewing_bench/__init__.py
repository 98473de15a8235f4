"""lacewing_bench."""
