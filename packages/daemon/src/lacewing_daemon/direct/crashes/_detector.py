"""Notice that an upstream has crashed, and what ran there."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from operator import attrgetter

import msgspec
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.log_lines import BrokenRun

from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._metrics import UPSTREAM_CRASHES
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import Suspect
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation

# The connections of a process that ended are reset together; each router
# reads the resets of its runs within this time.
COLLECT_WINDOW_S = 0.02
# Of a crash some tens of runs are told, those without an event first.
MOST_RUNS = 64

_log = get_log(Part.LINK)


class CrashDetector:
    """Tell a crashed upstream from one that broke one answer off.

    A connection that is reset or closed too soon looks the same in both
    cases. An upstream that ended takes no connection for some seconds, so
    one is tried; ``probe_connection`` tells how that ended.
    """

    def __init__(
        self,
        probe_connection: Callable[[Upstream], Awaitable[Contact]],
        on_crash: Callable[[CrashRecord], None],
    ) -> None:
        self._reached = probe_connection
        self._on_crash = on_crash
        self._broken: dict[UpstreamIncarnation, list[BrokenRun]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def run_broken(
        self, upstream: Upstream, start: UpstreamIncarnation, run: BrokenRun
    ) -> None:
        """Note that a start of an upstream broke a run off."""
        if upstream.leaving:
            # It ends on purpose, whatever it runs.
            return
        runs = self._broken.setdefault(start, [])
        runs.append(run)
        if len(runs) > 1:
            return
        task = asyncio.create_task(self._look(upstream, start))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stop looking."""
        for task in self._tasks:
            task.cancel()

    async def _look(
        self, upstream: Upstream, start: UpstreamIncarnation
    ) -> None:
        await asyncio.sleep(COLLECT_WINDOW_S)
        reached = await self._reached(upstream)
        runs = self._broken.pop(start)
        if reached is Contact.CONNECTED:
            return
        gone = reached is Contact.REFUSED
        runs.sort(key=attrgetter('begun'))
        UPSTREAM_CRASHES.labels(upstream.service).inc()
        _log.warning(
            'An upstream crashed.',
            upstream=start.upstream_id,
            started_ms=start.started_ms,
            again=start.again,
            gone=gone,
            service=upstream.service,
            runs=msgspec.to_builtins(runs[:MOST_RUNS]),
        )
        suspects = []
        for run in runs[:MOST_RUNS]:
            suspects.append(Suspect(run.same, run.begun))
        self._on_crash(CrashRecord(start, tuple(suspects), gone=gone))
