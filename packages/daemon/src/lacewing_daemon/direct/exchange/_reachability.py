"""Decide which engines are unreachable by what all routers have observed.

This module does no I/O; times are given by the caller.
"""

from collections.abc import Sequence
from collections.abc import Set

from lacewing_daemon.rendezvous import highest_ranked

# A failure that was not repeated for this long no longer counts: by then the
# entry of a lost engine has been removed, or a probe has failed again.
FAILURE_TTL_S = 6.0
# Routers that must have detected a silence. One alone may have sent the only
# prompt to an engine that prefills a long one, while the data that others
# receive is known only after their next message.
MIN_SILENT_ROUTERS = 2
# A router that reports failures of a larger share of its engines is likely
# cut off itself.
MAX_FAILED_SHARE = 0.5
_KEY_BYTES = 8
# Ages are rounded to this; data counts as newer than a failure only beyond.
_ROUNDING_S = 0.1


class _Observer:
    """Hold what one router has observed of engines."""

    def __init__(self) -> None:
        self.engines: set[int] = set()
        self.data_s: dict[int, float] = {}
        self.refused_s: dict[int, float] = {}
        self.silent_s: dict[int, float] = {}
        self.failed: set[int] = set()

    @property
    def is_cut_off(self) -> bool:
        """Return whether most of its engines fail for it."""
        return len(self.failed) > MAX_FAILED_SHARE * len(self.engines)


class Reachability:
    """Combine the failures and the received data of all routers."""

    def __init__(self) -> None:
        self._observers: dict[str, _Observer] = {}
        self._data_s: dict[int, float] = {}

    @property
    def failed_engines(self) -> set[int]:
        """Return the engines of which some router reports a failure."""
        failed: set[int] = set()
        for observer in self._observers.values():
            failed |= observer.failed
        return failed

    def observes(self, router: str, engines: Set[int]) -> None:
        """Record that a router sends to engines, also without failures."""
        observer = self._observers.setdefault(router, _Observer())
        observer.engines |= engines

    def record(
        self,
        router: str,
        engine: int,
        data_s: float | None,
        refused_s: float | None,
        silent_s: float | None,
    ) -> None:
        """Record when a router last had data or a failure of an engine."""
        observer = self._observers.setdefault(router, _Observer())
        observer.engines.add(engine)
        for times, at_s in (
            (observer.data_s, data_s),
            (observer.refused_s, refused_s),
            (observer.silent_s, silent_s),
        ):
            if at_s is not None:
                times[engine] = max(at_s, times.get(engine, at_s))
        if data_s is not None:
            known_s = self._data_s.get(engine, data_s)
            self._data_s[engine] = max(data_s, known_s)
        last_data_s = observer.data_s.get(engine, float('-inf'))
        failed_s = max(
            observer.refused_s.get(engine, float('-inf')),
            observer.silent_s.get(engine, float('-inf')),
        )
        if failed_s > last_data_s:
            observer.failed.add(engine)
        else:
            observer.failed.discard(engine)

    def forget(self, router: str) -> None:
        """Remove what a router has observed, except that data arrived."""
        self._observers.pop(router, None)

    def forget_engine(self, engine: int) -> None:
        """Remove an engine that has ended."""
        self._data_s.pop(engine, None)
        for observer in self._observers.values():
            observer.engines.discard(engine)
            observer.data_s.pop(engine, None)
            observer.refused_s.pop(engine, None)
            observer.silent_s.pop(engine, None)
            observer.failed.discard(engine)

    def is_unreachable(self, engine: int, now_s: float) -> bool:
        """Return whether failures are newer than all data from an engine."""
        after_s = max(
            now_s - FAILURE_TTL_S,
            self._data_s.get(engine, float('-inf')) + _ROUNDING_S,
        )
        silent = 0
        for observer in self._observers.values():
            if engine not in observer.failed or observer.is_cut_off:
                continue
            if observer.refused_s.get(engine, float('-inf')) > after_s:
                return True
            if observer.silent_s.get(engine, float('-inf')) > after_s:
                silent += 1
        return silent >= MIN_SILENT_ROUTERS

    def last_failure_s(self, engine: int, now_s: float) -> float | None:
        """Return when a router last failed to reach an engine, if lately.

        Failures of a router that has received data since don't count.
        """
        last_s = now_s - FAILURE_TTL_S
        for observer in self._observers.values():
            if engine not in observer.failed:
                continue
            for times in (observer.refused_s, observer.silent_s):
                last_s = max(last_s, times.get(engine, last_s))
        return last_s + _ROUNDING_S if last_s > now_s - FAILURE_TTL_S else None

    def refuses_connections(self, engine: int) -> bool:
        """Return whether the last failure was one to connect."""
        refused_s = silent_s = float('-inf')
        for observer in self._observers.values():
            at_s = observer.refused_s.get(engine, refused_s)
            refused_s = max(refused_s, at_s)
            at_s = observer.silent_s.get(engine, silent_s)
            silent_s = max(silent_s, at_s)
        return refused_s > silent_s


def probing_router(engine: int, routers: Sequence[str], slot: int) -> str:
    """Return the router that may probe an engine in a time slot.

    All routers that know each other agree; ``slot`` is a number of seconds.
    """
    key = (engine << 32 | slot & 0xFFFFFFFF).to_bytes(_KEY_BYTES, 'big')
    return highest_ranked(key, tuple(sorted(routers)))
