"""Measure how long a roll takes until it is in force everywhere."""
