"""Simulate a busy event loop in scenarios."""

import asyncio
import time


async def delay_iterations(delay_s: float) -> None:
    """Block every event loop iteration for delay_s seconds until cancelled."""
    while True:
        time.sleep(delay_s)
        await asyncio.sleep(0)
