"""Run the routers and agents of lacewingstack."""
