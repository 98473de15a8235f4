"""Find attempts by id over all routers, in bounded memory."""

from collections.abc import Iterator

from lacewing_common.verdict import may_have_run
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal
from lacewing_common.wire import AttemptId
from lacewing_common.wire import Start

from lacewing_daemon.agent._attempt import Attempt
from lacewing_daemon.agent._history import RouterHistory

# A router incarnation without link and attempts for so long is kept only as
# a number, and so many of those numbers are kept.
IDLE_S = 600.0
MOST_PAST_ROUTERS = 4096


class Attempts:
    """Hold the histories of all routers, for one run of the agent."""

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._histories: dict[str, RouterHistory] = {}
        self._past: dict[str, int] = {}
        self._gone_before = -1

    @property
    def open_count(self) -> int:
        """Count the attempts without an outcome."""
        count = 0
        for attempt in self.all():
            if attempt.outcome is None:
                count += 1
        return count

    def histories(self) -> Iterator[RouterHistory]:
        """Yield each router's history."""
        yield from self._histories.values()

    def all(self) -> Iterator[Attempt]:
        """Yield each attempt held."""
        for history in self._histories.values():
            yield from history.attempts.values()

    def link_opened(self, router: str) -> None:
        """Count a link of a router."""
        self._history(router).link_opened()

    def link_closed(self, router: str) -> None:
        """Count a link of a router less."""
        self._history(router).link_closed()

    def has_links(self, router: str) -> bool:
        """Tell whether a router has an open link."""
        history = self._histories.get(router)
        return history is not None and history.has_links

    def begin(self, start: Start, unfit: Refusal | None) -> Attempt | Refusal:
        """Record a new attempt, find a known one or refuse.

        ``unfit`` refuses an attempt that is not known yet.
        """
        if start.attempt.agent_incarnation != self._incarnation:
            # A router sends a Start once; in doubt it asks. So this one was
            # not run by the earlier agent either.
            return not_run(
                Reason.AGENT_RESTARTED,
                'the attempt was meant for an earlier run of this agent',
            )
        return self._history(start.attempt.router).begin(start, unfit)

    def ask(self, attempt_id: AttemptId) -> Attempt | Refusal:
        """Find an attempt; close its id for ever if it was never seen."""
        if attempt_id.agent_incarnation != self._incarnation:
            # The memory of that run is gone with it: an empty table must
            # not be read as "never seen".
            return may_have_run(
                Reason.AGENT_RESTARTED,
                'the agent that had the attempt has restarted',
            )
        return self._history(attempt_id.router).ask(attempt_id)

    def find(self, attempt_id: AttemptId) -> Attempt | None:
        """Return an attempt that is held."""
        if attempt_id.agent_incarnation != self._incarnation:
            return None
        history = self._histories.get(attempt_id.router)
        if history is None:
            return None
        return history.attempts.get(attempt_id.sequence)

    def forget_idle(self, now: float) -> None:
        """Reduce the history of each router that has gone to a number."""
        for router, history in list(self._histories.items()):
            if history.idle_s(now) < IDLE_S:
                continue
            del self._histories[router]
            self._past[router] = history.next_floor
        while len(self._past) > MOST_PAST_ROUTERS:
            router = next(iter(self._past))
            del self._past[router]
            incarnation = _incarnation(router)
            self._gone_before = max(self._gone_before, incarnation)

    def _history(self, router: str) -> RouterHistory:
        history = self._histories.get(router)
        if history is None:
            history = self._new_history(router)
            self._histories[router] = history
        return history

    def _new_history(self, router: str) -> RouterHistory:
        if router in self._past:
            return RouterHistory(self._past.pop(router))
        # Even the number may be gone. Then only the age of the router's
        # incarnation tells that it may be one of those forgotten; a new
        # router whose clock is behind is merely taken for one.
        if _incarnation(router) <= self._gone_before:
            return RouterHistory(forgotten=True)
        return RouterHistory()


def _incarnation(router: str) -> int:
    try:
        return int(router.rpartition('.')[2], 16)
    except ValueError:
        return 0
