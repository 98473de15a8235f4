"""Measure the cost of a routing decision in fleets of many workers."""
