"""Measure the overhead of router and agent on an engine's answer."""
