"""Bring random faults to a fleet under mixed traffic; count what broke.

All counts come from the callers and from the stand-ins, never from the
system's own metrics.
"""
