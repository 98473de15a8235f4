"""Wait for an event for a bounded time, so that a cancel always counts."""

import asyncio


async def wait_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait until an event is set; false when the time was over first.

    ``asyncio.wait_for`` of Python 3.11 drops a cancel that comes as the
    event is set. The task then goes on for ever, and whoever closes it
    hangs: it would show as a process that does not end after SIGTERM.
    """
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
