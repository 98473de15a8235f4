"""Let each task that is kept running fail once."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from contextlib import ExitStack
from unittest.mock import patch

from lacewing_daemon import _serve
from lacewing_daemon import background
from lacewing_daemon.background import Run
from lacewing_daemon.claims import _claims
from lacewing_daemon.direct import _planner
from lacewing_daemon.direct.exchange import _load_exchange
from lacewing_daemon.peers import _node
from lacewing_daemon.peers import _reader
from lacewing_daemon.placement import _placement
from lacewing_daemon.router import _links

MODULES = (
    _claims,
    _links,
    _load_exchange,
    _node,
    _placement,
    _planner,
    _reader,
    _serve,
    background,
)
KEEP_RUNNING = background.keep_running


class InjectedError(Exception):
    """Stand for an error that nobody foresaw."""


class FailingRuns:
    """Let each task of each router fail once, after it ran for a while.

    ``run_s``: for how long; 0: at its start.
    """

    def __init__(self, run_s: float) -> None:
        self._run_s = run_s
        self.begun: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()

    async def keep_running(self, name: str, run: Run) -> None:
        """Keep a task running that fails the first time."""
        has_failed = False

        async def run_or_fail() -> None:
            nonlocal has_failed
            self.begun[name] += 1
            if has_failed:
                return await run()
            has_failed = True
            if self._run_s:
                running = asyncio.create_task(run())
                try:
                    await asyncio.wait((running,), timeout=self._run_s)
                finally:
                    running.cancel()
                await asyncio.wait((running,))
            self.failed[name] += 1
            raise InjectedError

        await KEEP_RUNNING(name, run_or_fail)

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Wrap all tasks that are started meanwhile."""
        with ExitStack() as stack:
            for module in MODULES:
                stack.enter_context(
                    patch.object(module, 'keep_running', self.keep_running)
                )
            yield
