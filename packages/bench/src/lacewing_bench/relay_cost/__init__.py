"""Measure what router and agent add to an engine's answer."""
