"""Implement the commands that change something."""
