"""Simulate busy event loops and time in scenarios."""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

T = TypeVar('T')

# Timers of a real loop never fire early; rounding must not make these do so.
_TIMER_LATENESS_S = 1e-9


async def delay_iterations(delay_s: float) -> None:
    """Block every event loop iteration for delay_s seconds until cancelled."""
    while True:
        time.sleep(delay_s)
        await asyncio.sleep(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only by what it waits for.

    What runs on it takes no time, so the load of the machine has no effect.
    """

    def __init__(self) -> None:
        self._now_s = 0.0
        super().__init__(_SkippingSelector(self))

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._now_s

    def advance(self, duration_s: float) -> None:
        """Let time pass, as while a callback blocks the loop."""
        self._now_s += duration_s


class _SkippingSelector(selectors.SelectSelector):
    """Advance the loop's clock instead of waiting."""

    def __init__(self, loop: SimulatedLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready files, or let the timeout pass at once."""
        ready = super().select(0)
        if not ready and timeout:
            self._loop.advance(timeout + _TIMER_LATENESS_S)
        return ready


async def delay_simulated_iterations(
    loop: SimulatedLoop, delay_s: float
) -> None:
    """Let delay_s pass in every iteration of the loop until cancelled."""
    while True:
        loop.advance(delay_s)
        await asyncio.sleep(0)


def run_simulated(loop: SimulatedLoop, coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in simulated time."""
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(coroutine)
