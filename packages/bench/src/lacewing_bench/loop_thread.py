"""Run an event loop beside a test that is written without one."""

import asyncio
import threading
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

T = TypeVar('T')

_CALL_LIMIT_S = 60.0


class LoopThread:
    """Hold an event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()

    def call(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine on the loop and return its result."""
        running = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return running.result(_CALL_LIMIT_S)

    def close(self) -> None:
        """Cancel what still runs and end the thread."""
        self.call(_cancel_others())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
