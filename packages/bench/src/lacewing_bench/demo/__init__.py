"""Show the whole path on one machine in a few seconds."""
