"""Detect that an upstream has crashed, and which requests it ran."""

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from operator import attrgetter

import msgspec
from lacewing_common.log import get_log
from lacewing_common.log import Part
from lacewing_common.log_lines import BrokenRun

from lacewing_daemon.background import TaskSet
from lacewing_daemon.direct._attempt import Contact
from lacewing_daemon.direct._metrics import UPSTREAM_CRASHES
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import Suspect
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation

# The connections of a terminated process are reset together; each router
# receives the resets of its runs within this time.
COLLECT_WINDOW_S = 0.02
# Maximum number of runs that are reported for a crash; runs without an event
# come first.
MAX_RUNS = 64

_NS_PER_MS = 1_000_000

_log = get_log(Part.LINK)


class CrashDetector:
    """Distinguish a crashed upstream from a single broken connection.

    A connection that is reset or closed early looks the same in both cases.
    A terminated upstream accepts no connection for some seconds, so
    ``probe_connection`` tries to open one and returns the result.
    """

    def __init__(
        self,
        probe_connection: Callable[[Upstream], Awaitable[Contact]],
        on_crash: Callable[[CrashRecord], None],
        clock_ns: Callable[[], int] = time.time_ns,
    ) -> None:
        self._probe_connection = probe_connection
        self._on_crash = on_crash
        self._clock_ns = clock_ns
        self._broken_runs: dict[UpstreamIncarnation, list[BrokenRun]] = {}
        self._tasks = TaskSet('crash check')

    def run_broken(
        self,
        upstream: Upstream,
        incarnation: UpstreamIncarnation,
        run: BrokenRun,
    ) -> None:
        """Record that the connection of a run at an incarnation broke."""
        if upstream.leaving:
            # It shuts down as intended; its runs are not the cause.
            return
        runs = self._broken_runs.setdefault(incarnation, [])
        runs.append(run)
        if len(runs) > 1:
            return
        crashed_ms = self._clock_ns() // _NS_PER_MS
        self._tasks.start(self._check(upstream, incarnation, crashed_ms))

    def close(self) -> None:
        """Cancel pending checks."""
        self._tasks.cancel()

    async def _check(
        self,
        upstream: Upstream,
        incarnation: UpstreamIncarnation,
        crashed_ms: int,
    ) -> None:
        try:
            await asyncio.sleep(COLLECT_WINDOW_S)
            contact = await self._probe_connection(upstream)
        finally:
            runs = self._broken_runs.pop(incarnation)
        if contact is Contact.CONNECTED:
            return
        gone = contact is Contact.REFUSED
        runs.sort(key=attrgetter('begun'))
        UPSTREAM_CRASHES.labels(upstream.service).inc()
        _log.warning(
            'An upstream crashed.',
            upstream=incarnation.upstream_id,
            started_ms=incarnation.started_ms,
            again=incarnation.again,
            gone=gone,
            crashed_ms=crashed_ms,
            service=upstream.service,
            runs=msgspec.to_builtins(runs[:MAX_RUNS]),
        )
        suspects = []
        for run in runs[:MAX_RUNS]:
            suspects.append(Suspect(run.same, run.begun, run.parts))
        self._on_crash(
            CrashRecord(
                incarnation,
                tuple(suspects),
                gone=gone,
                crashed_ms=crashed_ms,
            )
        )
