"""Measure the cost of claims: latency, platform writes, bytes, memory."""
