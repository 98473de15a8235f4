"""Hold what the router, the agent and the command line share."""
