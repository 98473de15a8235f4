"""Implement the commands that only read."""
