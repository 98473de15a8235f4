"""Ask upstreams which start of them writes a stream.

The version of an upstream's software is known from its entry, which tells of
a new start late, and not at all while the store is away. A connection belongs
to one start. Which one is certain once a report that was requested after the
connection was opened names the start that the entry is of: any later start
would have sent the report.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lacewing_daemon.background import TaskSet
from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._site import UpstreamControl
from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import UnknownSoftware
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.origins import MAX_LIST_AGE_S

# How long a stream that broke off waits for a report: an upstream that lives
# answers within some ms.
RESOLVE_TIMEOUT_S = 0.3
# A report that fails is requested again for streams that have begun.
RETRY_DELAY_S = 0.2
MAX_RETRIES = 5

OnSoftware = Callable[[Software], None]


@dataclass(frozen=True)
class _Begun:
    """Hold a stream whose start is not known yet."""

    opened_s: float
    on_software: OnSoftware


class RestartChecks:
    """Keep the doubts about upstreams, and resolve them by reports.

    ``is_engine`` returns whether the upstreams of a service answer reports
    and may have several software versions. ``list_age_s`` returns the age of
    the list of upstreams. All times are of the boot clock.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        control: UpstreamControl,
        is_engine: Callable[[str], bool],
        list_age_s: Callable[[], float],
    ) -> None:
        self._cluster_state = cluster_state
        self._control = control
        self._is_engine = is_engine
        self._list_age_s = list_age_s
        self._open: dict[UpstreamState, asyncio.Task[None]] = {}
        self._wanted_s: dict[UpstreamState, float] = {}
        self._begun: dict[UpstreamState, list[_Begun]] = {}
        self._reported: dict[UpstreamState, asyncio.Event] = {}
        self._tasks = TaskSet('restart check')

    def software_at(self, state: UpstreamState, opened_s: float) -> Software:
        """Return the software at the other end of a connection."""
        if not self._is_checked(state):
            return state.upstream.software
        return state.software_at(opened_s)

    def run_broken(self, state: UpstreamState) -> None:
        """Record that an upstream broke a run off; it may live on."""
        if self._doubt(state, boot_s()):
            self._ask(state)

    def connection_lost(self, state: UpstreamState) -> None:
        """Record that an upstream refused or closed a connection."""
        self._doubt(state, boot_s())

    def stream_sent(self, state: UpstreamState, opened_s: float) -> None:
        """Find out which start a connection that was opened then is to."""
        if self._is_checked(state) and not state.is_confirmed(opened_s):
            self._ask_for(state, opened_s)

    def stream_began(
        self,
        state: UpstreamState,
        opened_s: float,
        on_software: OnSoftware | None,
    ) -> None:
        """Record the first event on a connection that was opened then.

        While the list of upstreams is stale, nothing tells of new starts.
        ``on_software`` is called with DOUBTED until a report names the start
        that began it, then with its version, or why that stays unknown.
        """
        listed_s = boot_s() - self._list_age_s()
        if opened_s > listed_s + MAX_LIST_AGE_S:
            self._doubt(state, opened_s)
        is_known = not self._is_checked(state) or state.is_confirmed(opened_s)
        if is_known and on_software is not None:
            on_software(state.upstream.software)
        if not is_known and on_software is not None:
            if state.replaced:
                on_software(UnknownSoftware.NO_ENTRY)
                return
            on_software(UnknownSoftware.DOUBTED)
            begun = self._begun.setdefault(state, [])
            begun.append(_Begun(opened_s, on_software))
        is_wanted = not is_known and on_software is not None
        if state.is_software_doubted or is_wanted:
            self._ask_for(state, opened_s)

    async def resolve(self, state: UpstreamState, opened_s: float) -> None:
        """Wait for the start of a connection, or a missing answer.

        A report under way may have been requested before the connection was
        opened; the one after it tells.
        """
        try:
            async with asyncio.timeout(RESOLVE_TIMEOUT_S):
                for _ in range(2):
                    if state.is_confirmed(opened_s):
                        return
                    if not self._ask_for(state, opened_s):
                        return
                    await self._next_report(state)
        except TimeoutError:
            return

    async def has_software(
        self, state: UpstreamState, opened_s: float, software: Software
    ) -> bool:
        """Return whether a connection is to a start with some software."""
        if self.software_at(state, opened_s) is UnknownSoftware.DOUBTED:
            await self.resolve(state, opened_s)
        return self.software_at(state, opened_s) == software

    def close(self) -> None:
        """Cancel open calls; what they would tell is not recorded."""
        self._begun.clear()
        self._tasks.cancel()

    def _is_checked(self, state: UpstreamState) -> bool:
        """Return whether an upstream may have several starts, and says so."""
        upstream = state.upstream
        return bool(upstream.started_ms) and self._is_engine(upstream.service)

    def _doubt(self, state: UpstreamState, since_s: float) -> bool:
        """Doubt the software of an upstream that may have several."""
        if not self._is_checked(state):
            return False
        state.doubt_software(since_s)
        return True

    def _ask_for(self, state: UpstreamState, opened_s: float) -> bool:
        """Request a report that tells the start of a connection."""
        wanted_s = self._wanted_s.get(state, opened_s)
        self._wanted_s[state] = max(wanted_s, opened_s)
        if self._ask(state):
            return True
        if state not in self._open:
            self._forget(state)
        return False

    def _ask(self, state: UpstreamState) -> bool:
        """Request a report unless one is under way; return whether it is."""
        if not state.is_listed:
            return False
        if state not in self._open:
            self._open[state] = self._tasks.start(self._check(state))
        return True

    def _forget(self, state: UpstreamState) -> None:
        """Drop what waits for an upstream that does not answer for it."""
        self._wanted_s.pop(state, None)
        for begun in self._begun.pop(state, ()):
            begun.on_software(UnknownSoftware.NO_ENTRY)

    async def _check(self, state: UpstreamState) -> None:
        """Request reports until nothing is in doubt, or they fail.

        Only streams that have begun are worth another request.
        """
        try:
            failures = 0
            while failures <= MAX_RETRIES:
                is_confirmed = await self._confirm(state)
                self._notify(state)
                if is_confirmed and not self._is_open(state):
                    return
                if is_confirmed:
                    failures = 0
                    continue
                if not state.is_listed or not self._begun.get(state):
                    return
                failures += 1
                await asyncio.sleep(RETRY_DELAY_S)
        finally:
            self._open.pop(state, None)
            self._forget(state)
            self._notify(state)

    async def _next_report(self, state: UpstreamState) -> None:
        """Wait until a report has come, or failed."""
        event = self._reported.setdefault(state, asyncio.Event())
        await event.wait()

    def _notify(self, state: UpstreamState) -> None:
        event = self._reported.pop(state, None)
        if event is not None:
            event.set()

    def _is_open(self, state: UpstreamState) -> bool:
        """Return whether a connection or the upstream is still in doubt."""
        if state.is_software_doubted:
            return True
        wanted_s = self._wanted_s.get(state)
        return wanted_s is not None and not state.is_confirmed(wanted_s)

    async def _confirm(self, state: UpstreamState) -> bool:
        """Request a report; return whether the known start has sent it."""
        sent_s = boot_s()
        report = await self._control.report(state.upstream)
        if report is None:
            return False
        is_same = self._cluster_state.apply_report(state, report)
        if not is_same or report.started_ms != state.upstream.started_ms:
            return False
        state.confirm_software(sent_s)
        remaining = []
        for begun in self._begun.pop(state, ()):
            if not state.is_confirmed(begun.opened_s):
                remaining.append(begun)
                continue
            begun.on_software(state.upstream.software)
        if remaining:
            self._begun[state] = remaining
        return True
