"""Determine from crashes which requests are blocked.

This module does no I/O; the clock is injected.
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

# A request is blocked after this many crashes that no other request explains.
# One crash less suffices if no other request has as many and if none of its
# runs had returned an event. In a model of callers and 5 engines this reduces
# the engines that a request crashes from 4.0 to 2.5 and the interrupted runs
# from 43 to 21; none of 1,100 other requests is blocked. If one engine per
# second crashes for unrelated reasons, 1.1 of them are blocked instead of 0.4
# (`make crash-errors`).
CRASHES_TO_BLOCK = 3
# How long a crash counts. Callers repeat a crash-causing request for minutes;
# a wrongly blocked request is unblocked after this time at the latest.
CRASH_TTL_S = 600.0
# Other routers report a crash within this time.
REPORT_DELAY_S = 2.0
# Retry delay of blocks that further reports or probes may still lift.
PROVISIONAL_RETRY_S = 2.0
# Only the latest crashes are kept. An upstream crashes at most once every few
# seconds, and each crash takes several kilobytes.
MAX_CRASHES = 500


@dataclass
class _CrashState:
    """Hold what ran at an upstream that crashed.

    ``received_s`` is when the crash was first reported. ``begun`` maps each
    request to whether it had returned an event. ``gone`` is set if the
    connection probe after the crash was refused. ``digested`` caches the
    record and its digest; None if outdated.
    """

    received_s: float
    begun: dict[str, bool] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    gone: bool = False
    digested: tuple[int, CrashRecord] | None = None


class CrashRegistry:
    """Hold recent crashes and determine which requests caused them.

    Every request that ran at a crashed upstream is a suspect. Other requests
    run concurrently with one that crashes upstreams repeatedly; if each were
    counted on its own, those that are repeated at the same time would be
    blocked as well. Therefore all crashes under the request with the most
    crashes are attributed to it, and they do not count against any other
    request. A request that completes has caused none of the crashes before.

    The result depends only on the set of merged records, not on their order,
    so all routers reach the same result.
    """

    def __init__(
        self,
        to_block: int = CRASHES_TO_BLOCK,
        clock: Callable[[], float] = boot_s,
    ) -> None:
        self._to_block = to_block
        self._clock = clock
        self._crashes: dict[UpstreamIncarnation, _CrashState] = {}
        self._incarnations: dict[str, set[UpstreamIncarnation]] = {}
        self._blocked: frozenset[str] = frozenset()
        self._ambiguous: frozenset[str] = frozenset()
        self._stale = False

    @property
    def empty(self) -> bool:
        """Return whether no crash is recorded."""
        return not self._crashes

    @property
    def newest_age_s(self) -> float:
        """Return the time since the latest crash was first reported."""
        if not self._crashes:
            return float('inf')
        newest = next(reversed(self._crashes.values()))
        return self._clock() - newest.received_s

    @property
    def records_by_digest(self) -> dict[int, CrashRecord]:
        """Return a record of each crash by its digest, the latest last."""
        records = {}
        for incarnation, crash in self._crashes.items():
            if crash.digested is None:
                record = _make_record(incarnation, crash)
                crash.digested = (record_digest(record), record)
            records[crash.digested[0]] = crash.digested[1]
        return records

    @property
    def blocked(self) -> frozenset[str]:
        """Return the fingerprints of the blocked requests."""
        self._update_causes()
        return self._blocked

    @property
    def ambiguous(self) -> frozenset[str]:
        """Return the blocked requests that may not have caused a crash."""
        self._update_causes()
        return self._ambiguous

    def retry_after_s(self, fingerprint: str) -> float:
        """Return the delay after which a blocked request may be retried.

        The delay is short for a recent or ambiguous block, since reports of
        peers or probes may lift it long before it expires.
        """
        if fingerprint not in self.blocked:
            return 0.0
        newest_s = 0.0
        for incarnation in self._incarnations[fingerprint]:
            newest_s = max(newest_s, self._crashes[incarnation].received_s)
        now_s = self._clock()
        recent = now_s < newest_s + REPORT_DELAY_S
        if fingerprint in self._ambiguous or recent:
            return PROVISIONAL_RETRY_S
        return max(0.0, newest_s + CRASH_TTL_S - now_s)

    def crash_count(self, fingerprint: str) -> int:
        """Return the number of crashes under a request, for any cause."""
        return len(self._incarnations.get(fingerprint, ()))

    def incarnations(self, fingerprint: str) -> frozenset[UpstreamIncarnation]:
        """Return the upstream incarnations that crashed under a request."""
        return frozenset(self._incarnations.get(fingerprint, ()))

    def incarnation_of(
        self, latest: UpstreamIncarnation, opened_s: float
    ) -> UpstreamIncarnation:
        """Return the incarnation to which a connection was opened.

        ``latest`` is the one last read from the store. While the store is
        unavailable, later incarnations are unknown, and two crashes would
        count as one. An upstream that accepts a connection after a crash
        with a refused connection probe has restarted. Without that evidence,
        for example after a network partition, it may be the same incarnation.
        """
        incarnation = latest
        while True:
            crash = self._crashes.get(incarnation)
            if crash is None or not crash.gone or opened_s <= crash.received_s:
                return incarnation
            incarnation = msgspec.structs.replace(
                incarnation, again=incarnation.again + 1
            )

    def merge(self, record: CrashRecord) -> bool:
        """Merge a record; return whether it contained something new."""
        crash = self._crashes.get(record.start)
        new = False
        if crash is None:
            self.expire()
            crash = _CrashState(self._clock())
            self._crashes[record.start] = crash
            new = True
        if record.gone and not crash.gone:
            crash.gone = True
            crash.digested = None
            new = True
        for fingerprint in record.cleared:
            new |= self._exonerate_in(record.start, crash, fingerprint)
        for suspect in record.suspects:
            new |= self._add_suspect(record.start, crash, suspect)
        self._stale |= new
        return new

    def exonerate(self, fingerprint: str) -> tuple[CrashRecord, ...]:
        """Record that a request completed; return the updates to publish."""
        updates = []
        for incarnation in tuple(self._incarnations.get(fingerprint, ())):
            self._exonerate_in(
                incarnation, self._crashes[incarnation], fingerprint
            )
            updates.append(CrashRecord(incarnation, cleared=(fingerprint,)))
        self._stale |= bool(updates)
        return tuple(updates)

    def expire(self) -> None:
        """Remove expired crashes and make room for one more."""
        oldest_s = self._clock() - CRASH_TTL_S
        for incarnation in list(self._crashes):
            crash = self._crashes[incarnation]
            if (
                crash.received_s > oldest_s
                and len(self._crashes) < MAX_CRASHES
            ):
                # Crashes are in the order in which they were first reported.
                return
            for fingerprint in crash.begun:
                self._remove(incarnation, fingerprint)
            del self._crashes[incarnation]
            self._stale = True

    def _add_suspect(
        self,
        incarnation: UpstreamIncarnation,
        crash: _CrashState,
        suspect: Suspect,
    ) -> bool:
        fingerprint = suspect.fingerprint
        if fingerprint in crash.cleared:
            return False
        begun = crash.begun.get(fingerprint)
        if begun is not None and begun <= suspect.begun:
            return False
        # The request may have run there twice; the run without an event
        # counts.
        crash.begun[fingerprint] = suspect.begun
        crash.digested = None
        self._incarnations.setdefault(fingerprint, set()).add(incarnation)
        return True

    def _exonerate_in(
        self,
        incarnation: UpstreamIncarnation,
        crash: _CrashState,
        fingerprint: str,
    ) -> bool:
        if fingerprint in crash.cleared:
            return False
        crash.cleared.add(fingerprint)
        crash.digested = None
        if crash.begun.pop(fingerprint, None) is not None:
            self._remove(incarnation, fingerprint)
        return True

    def _remove(
        self, incarnation: UpstreamIncarnation, fingerprint: str
    ) -> None:
        incarnations = self._incarnations[fingerprint]
        incarnations.discard(incarnation)
        if not incarnations:
            del self._incarnations[fingerprint]

    def _update_causes(self) -> None:
        if self._stale:
            self._attribute_crashes()
            self._stale = False

    def _attribute_crashes(self) -> None:
        """Attribute crashes to requests, to that with the most first."""
        unexplained: dict[str, set[UpstreamIncarnation]] = {}
        for fingerprint, incarnations in self._incarnations.items():
            if len(incarnations) >= self._to_block - 1:
                unexplained[fingerprint] = set(incarnations)
        blocked: set[str] = set()
        ambiguous: set[str] = set()
        while unexplained:
            max_weight = max(
                self._weight(*item) for item in unexplained.items()
            )
            causes = []
            for fingerprint, incarnations in unexplained.items():
                if self._weight(fingerprint, incarnations) == max_weight:
                    causes.append(fingerprint)
            if not self._is_enough(max_weight, len(causes)):
                break
            ambiguous |= self._ambiguous_among(
                {cause: unexplained[cause] for cause in causes}
            )
            explained: set[UpstreamIncarnation] = set()
            for fingerprint in causes:
                explained |= unexplained.pop(fingerprint)
            blocked.update(causes)
            for incarnations in unexplained.values():
                incarnations -= explained
        self._blocked = frozenset(blocked)
        self._ambiguous = frozenset(ambiguous)

    def _ambiguous_among(
        self, causes: dict[str, set[UpstreamIncarnation]]
    ) -> set[str]:
        """Return the causes that share too many crashes with other causes."""
        counts = Counter(chain.from_iterable(causes.values()))
        ambiguous = set()
        for fingerprint, incarnations in causes.items():
            unshared = sum(
                counts[incarnation] == 1 for incarnation in incarnations
            )
            if unshared < min(len(incarnations), self._to_block - 1):
                ambiguous.add(fingerprint)
        return ambiguous

    def _is_enough(self, weight: tuple[int, int], tied_count: int) -> bool:
        crashes, without_event = weight
        if crashes >= self._to_block:
            return True
        if crashes < self._to_block - 1:
            return False
        return tied_count == 1 and without_event == crashes

    def _weight(
        self, fingerprint: str, incarnations: set[UpstreamIncarnation]
    ) -> tuple[int, int]:
        """Return the crashes, and how many came before the first event.

        A crash-causing request crashes its upstream as soon as it runs; one
        that has already returned events is less likely the cause.
        """
        without_event = 0
        for incarnation in incarnations:
            if not self._crashes[incarnation].begun[fingerprint]:
                without_event += 1
        return len(incarnations), without_event


def _make_record(
    incarnation: UpstreamIncarnation, crash: _CrashState
) -> CrashRecord:
    suspects = []
    for fingerprint in sorted(crash.begun):
        suspects.append(Suspect(fingerprint, crash.begun[fingerprint]))
    cleared = tuple(sorted(crash.cleared))
    return CrashRecord(incarnation, tuple(suspects), cleared, crash.gone)
