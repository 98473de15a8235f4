"""Load a fleet with the users' workload and check every answer."""
