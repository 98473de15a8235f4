"""Measure what claims cost: latency, platform writes, bytes, memory."""
