"""Evaluate what routers tell each other of their load at engines."""
