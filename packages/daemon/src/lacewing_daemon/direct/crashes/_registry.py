"""Decide from crashes which requests are blocked.

No input or output; time is the caller's.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from itertools import chain

import msgspec

from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import record_digest
from lacewing_daemon.direct.crashes._record import Suspect
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation

# A request is blocked after so many crashes that nothing else explains; after
# one less if it is the only one with as many and had brought no event at any.
# On a model of callers and 5 engines a request then ends 2.5 of them in place
# of 4.0 and breaks 21 runs off in place of 43; of 1,100 others none is shut
# out. Where an engine a second crashes for no reason it is 1.1 in place of 0.4
# (`make crash-errors`).
CRASHES_TO_BLOCK = 3
# How long a crash counts. Who repeats what crashes upstreams does so for
# minutes; who was blocked wrongly gets in again after this.
CRASH_TTL_S = 600.0
# Other routers report a crash within this time.
REPORT_DELAY_S = 2.0
# Retry delay of blocks that further reports or probes may still lift.
PROVISIONAL_RETRY_S = 2.0
# Crashes remembered, the newest. One upstream crashes every few seconds at
# the most, and each crash takes some kilobytes.
MAX_CRASHES = 500


@dataclass
class _Crash:
    """Hold what ran at an upstream that crashed, and when that was heard.

    ``begun`` maps each request to whether it had brought an event; ``gone``:
    nobody listened there any more. ``marked`` is the record of it all with
    its mark, None once out of date.
    """

    heard_s: float
    begun: dict[str, bool] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    gone: bool = False
    marked: tuple[int, CrashRecord] | None = None


class CrashRegistry:
    """Hold the crashes of late and tell which requests caused them.

    All that ran at an upstream is under suspicion when it crashes. Beside a
    request that crashes one upstream after the other, others run each time;
    counted alone, those that were repeated beside it would be blocked with
    it. So the request with the most crashes is held to have caused all of
    them, and these count for nobody else. A request that is answered well
    has caused none of the crashes before.

    The result depends on what was told, not on the order in which it came,
    so all routers come to the same.
    """

    def __init__(
        self,
        to_block: int = CRASHES_TO_BLOCK,
        clock: Callable[[], float] = boot_s,
    ) -> None:
        self._to_block = to_block
        self._clock = clock
        self._crashes: dict[UpstreamIncarnation, _Crash] = {}
        self._under: dict[str, set[UpstreamIncarnation]] = {}
        self._blocked: frozenset[str] = frozenset()
        self._ambiguous: frozenset[str] = frozenset()
        self._stale = False

    @property
    def empty(self) -> bool:
        """Tell whether no crash is known."""
        return not self._crashes

    @property
    def newest_age_s(self) -> float:
        """Return how long ago the newest crash was heard of."""
        if not self._crashes:
            return float('inf')
        newest = next(reversed(self._crashes.values()))
        return self._clock() - newest.heard_s

    @property
    def records_by_digest(self) -> dict[int, CrashRecord]:
        """Return a record of each crash by its mark, the newest last."""
        found = {}
        for start, crash in self._crashes.items():
            if crash.marked is None:
                record = _record(start, crash)
                crash.marked = (record_digest(record), record)
            found[crash.marked[0]] = crash.marked[1]
        return found

    @property
    def blocked(self) -> frozenset[str]:
        """Return the fingerprints of what is blocked."""
        self._refresh()
        return self._blocked

    @property
    def ambiguous(self) -> frozenset[str]:
        """Return the blocked requests that may not have caused a crash."""
        self._refresh()
        return self._ambiguous

    def retry_after_s(self, fingerprint: str) -> float:
        """Return the delay after which a blocked request may be retried.

        The delay is short for a recent or ambiguous block, since reports of
        peers or probes may lift it long before it expires.
        """
        if fingerprint not in self.blocked:
            return 0.0
        newest_s = 0.0
        for start in self._under[fingerprint]:
            newest_s = max(newest_s, self._crashes[start].heard_s)
        now_s = self._clock()
        recent = now_s < newest_s + REPORT_DELAY_S
        if fingerprint in self._ambiguous or recent:
            return PROVISIONAL_RETRY_S
        return max(0.0, newest_s + CRASH_TTL_S - now_s)

    def crash_count(self, fingerprint: str) -> int:
        """Return the crashes under a request, whoever caused them."""
        return len(self._under.get(fingerprint, ()))

    def incarnations(self, fingerprint: str) -> frozenset[UpstreamIncarnation]:
        """Return the starts of upstreams that crashed under a request."""
        return frozenset(self._under.get(fingerprint, ()))

    def incarnation_of(
        self, known: UpstreamIncarnation, opened_s: float
    ) -> UpstreamIncarnation:
        """Return the start to which a connection was opened.

        ``known`` is the one read last in the store. While the store is away
        later ones are not heard of, and two crashes would count as one. Who
        takes a connection after a crash that left nobody listening has
        started again; after a crash without that proof, as with a cut link,
        it may be the same one.
        """
        start = known
        while True:
            crash = self._crashes.get(start)
            if crash is None or not crash.gone or opened_s <= crash.heard_s:
                return start
            start = msgspec.structs.replace(start, again=start.again + 1)

    def merge(self, record: CrashRecord) -> bool:
        """Take what was told of a crash; false if all of it was known."""
        crash = self._crashes.get(record.start)
        new = False
        if crash is None:
            self.expire()
            crash = _Crash(self._clock())
            self._crashes[record.start] = crash
            new = True
        if record.gone and not crash.gone:
            crash.gone = True
            crash.marked = None
            new = True
        for fingerprint in record.cleared:
            new |= self._clear_of(record.start, crash, fingerprint)
        for suspect in record.suspects:
            new |= self._suspect(record.start, crash, suspect)
        self._stale |= new
        return new

    def exonerate(self, fingerprint: str) -> tuple[CrashRecord, ...]:
        """Note that a request ran well; return what there is to tell."""
        news = []
        for start in tuple(self._under.get(fingerprint, ())):
            self._clear_of(start, self._crashes[start], fingerprint)
            news.append(CrashRecord(start, cleared=(fingerprint,)))
        self._stale |= bool(news)
        return tuple(news)

    def expire(self) -> None:
        """Drop what counts no more."""
        oldest_s = self._clock() - CRASH_TTL_S
        for start in list(self._crashes):
            crash = self._crashes[start]
            if crash.heard_s > oldest_s and len(self._crashes) < MAX_CRASHES:
                # They are in the order in which they were heard of.
                return
            for fingerprint in crash.begun:
                self._drop(start, fingerprint)
            del self._crashes[start]
            self._stale = True

    def _suspect(
        self, start: UpstreamIncarnation, crash: _Crash, suspect: Suspect
    ) -> bool:
        fingerprint = suspect.fingerprint
        if fingerprint in crash.cleared:
            return False
        known = crash.begun.get(fingerprint)
        if known is not None and known <= suspect.begun:
            return False
        # It may have run there twice; the run that had not begun counts.
        crash.begun[fingerprint] = suspect.begun
        crash.marked = None
        self._under.setdefault(fingerprint, set()).add(start)
        return True

    def _clear_of(
        self, start: UpstreamIncarnation, crash: _Crash, fingerprint: str
    ) -> bool:
        if fingerprint in crash.cleared:
            return False
        crash.cleared.add(fingerprint)
        crash.marked = None
        if crash.begun.pop(fingerprint, None) is not None:
            self._drop(start, fingerprint)
        return True

    def _drop(self, start: UpstreamIncarnation, fingerprint: str) -> None:
        starts = self._under[fingerprint]
        starts.discard(start)
        if not starts:
            del self._under[fingerprint]

    def _refresh(self) -> None:
        if self._stale:
            self._find_causes()
            self._stale = False

    def _find_causes(self) -> None:
        """Explain the crashes, those with the most under one request first."""
        left: dict[str, set[UpstreamIncarnation]] = {}
        for fingerprint, starts in self._under.items():
            if len(starts) >= self._to_block - 1:
                left[fingerprint] = set(starts)
        found: set[str] = set()
        ambiguous: set[str] = set()
        while left:
            most = max(self._weight(*item) for item in left.items())
            causes = []
            for fingerprint, starts in left.items():
                if self._weight(fingerprint, starts) == most:
                    causes.append(fingerprint)
            if not self._is_enough(most, len(causes)):
                break
            ambiguous |= self._ambiguous_among(
                {cause: left[cause] for cause in causes}
            )
            explained: set[UpstreamIncarnation] = set()
            for fingerprint in causes:
                explained |= left.pop(fingerprint)
            found.update(causes)
            for starts in left.values():
                starts -= explained
        self._blocked = frozenset(found)
        self._ambiguous = frozenset(ambiguous)

    def _ambiguous_among(
        self, causes: dict[str, set[UpstreamIncarnation]]
    ) -> set[str]:
        """Return the causes that share too many crashes with other causes."""
        counts = Counter(chain.from_iterable(causes.values()))
        ambiguous = set()
        for fingerprint, starts in causes.items():
            unshared = sum(counts[start] == 1 for start in starts)
            if unshared < min(len(starts), self._to_block - 1):
                ambiguous.add(fingerprint)
        return ambiguous

    def _is_enough(self, weight: tuple[int, int], alike: int) -> bool:
        crashes, unbegun = weight
        if crashes >= self._to_block:
            return True
        if crashes < self._to_block - 1:
            return False
        return alike == 1 and unbegun == crashes

    def _weight(
        self, fingerprint: str, starts: set[UpstreamIncarnation]
    ) -> tuple[int, int]:
        """Return the crashes, and those before any event of the request.

        What crashes an upstream does so as it begins to run; a request that
        has brought events for a while is less likely the cause.
        """
        unbegun = 0
        for start in starts:
            if not self._crashes[start].begun[fingerprint]:
                unbegun += 1
        return len(starts), unbegun


def _record(start: UpstreamIncarnation, crash: _Crash) -> CrashRecord:
    suspects = []
    for fingerprint in sorted(crash.begun):
        suspects.append(Suspect(fingerprint, crash.begun[fingerprint]))
    cleared = tuple(sorted(crash.cleared))
    return CrashRecord(start, tuple(suspects), cleared, crash.gone)
