"""Provide the code shared by router, agent and command line."""
