"""Keep background tasks and callbacks going after unforeseen errors."""

import asyncio
import time
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from typing import Any
from typing import TypeVar

from lacewing_common.backoff import Backoff
from lacewing_common.log import get_log
from lacewing_common.log import Part
from prometheus_client import Counter

# Delays before a task that failed starts again.
RESTART_BASE_S = 0.1
RESTART_CAP_S = 5.0
# A task that ran for this long counts as recovered.
RECOVERED_AFTER_S = 30.0

T = TypeVar('T')
Run = Callable[[], Coroutine[Any, Any, None]]

FAILURES = Counter(
    'lacewing_background_failures',
    'Unforeseen errors of background tasks and callbacks, by name',
    ['name'],
)

_log = get_log(Part.MAIN)


async def keep_running(name: str, run: Run) -> None:
    """Run a task until it ends or is cancelled; restart it if it fails.

    ``run`` must start from a known state each time it is called.
    """
    backoff = Backoff(RESTART_BASE_S, RESTART_CAP_S)
    while True:
        started_s = time.monotonic()
        error = await _run_once(run)
        if error is None:
            return
        if time.monotonic() - started_s > RECOVERED_AFTER_S:
            backoff.reset()
        report_failure(name, error)
        await asyncio.sleep(backoff.next_s())


async def keep_all_running(runs: Mapping[str, Run]) -> None:
    """Run tasks by name until cancelled; restart those that fail."""
    async with asyncio.TaskGroup() as tasks:
        for name, run in runs.items():
            tasks.create_task(keep_running(name, run), name=name)


def call_back(name: str, callback: Callable[..., None], *args: Any) -> bool:
    """Call back; report an error and return whether there was none."""
    try:
        callback(*args)
    except Exception as error:
        report_failure(name, error)
        return False
    return True


def report_failure(name: str, error: BaseException) -> None:
    """Log and count an unforeseen error with its traceback."""
    FAILURES.labels(name).inc()
    _log.error('A background task failed.', task=name, exc_info=error)


class TaskSet:
    """Hold tasks that end by themselves; report those that fail."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._tasks: set[asyncio.Task[Any]] = set()

    def __bool__(self) -> bool:
        return bool(self._tasks)

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task."""
        task = asyncio.create_task(work, name=self._name)
        self._tasks.add(task)
        task.add_done_callback(self._end)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    def _end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            report_failure(self._name, error)


async def _run_once(run: Run) -> BaseException | None:
    """Run a task; return what it failed with, None if it ended."""
    try:
        await run()
    except asyncio.CancelledError as error:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        # Something that it awaited was cancelled, not the task itself.
        return error
    except Exception as error:
        return error
    return None
