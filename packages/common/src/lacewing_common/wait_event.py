"""Wait for an event with a timeout without losing a cancellation."""

import asyncio


async def wait_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait until an event is set; return false on a timeout.

    ``asyncio.wait_for`` of Python 3.11 loses a cancellation that coincides
    with the event being set. The task then never ends and closing it hangs:
    the process does not terminate after SIGTERM.
    """
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
