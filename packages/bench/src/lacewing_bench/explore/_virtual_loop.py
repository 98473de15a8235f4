"""Run tasks in virtual time, so that each run takes the same course."""

import asyncio
import selectors
from typing import Any


class _NoWait(selectors.DefaultSelector):
    """Advance the loop's clock in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return at once; the time asked for has then passed."""
        if timeout is not None and timeout > 0:
            self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Hold a clock that moves only while a timer is waited for."""

    def __init__(self) -> None:
        self._no_wait = _NoWait()
        super().__init__(self._no_wait)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._no_wait.now

    async def settle(self) -> None:
        """Let all tasks run until each waits for a timer or a future."""
        ready: Any = getattr(self, '_ready')  # noqa: B009
        await asyncio.sleep(0)
        while ready:
            await asyncio.sleep(0)
