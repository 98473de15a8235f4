"""Measure what a routing decision costs against fleets of many workers."""
