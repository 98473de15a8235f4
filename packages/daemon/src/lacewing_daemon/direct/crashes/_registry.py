"""Determine from crashes which requests and parts of prompts are blocked.

This module does no I/O; the clock is injected.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

from lacewing_daemon.direct._clock import boot_s
from lacewing_daemon.direct.crashes._attribution import attribute_to_fewest
from lacewing_daemon.direct.crashes._attribution import Attribution
from lacewing_daemon.direct.crashes._attribution import Causes
from lacewing_daemon.direct.crashes._attribution import Evidence
from lacewing_daemon.direct.crashes._attribution import Run
from lacewing_daemon.direct.crashes._crash_state import CrashState
from lacewing_daemon.direct.crashes._crash_state import make_record
from lacewing_daemon.direct.crashes._crash_state import merge_suspects
from lacewing_daemon.direct.crashes._fingerprint import is_part
from lacewing_daemon.direct.crashes._moments import count_moments_once
from lacewing_daemon.direct.crashes._moments import find_moments
from lacewing_daemon.direct.crashes._moments import Moment
from lacewing_daemon.direct.crashes._moments import MomentRule
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import record_digest
from lacewing_daemon.direct.crashes._record import Suspect
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation

# A subject is blocked after this many crashes that no other one explains. One
# less suffices if no other explains them as well and if none of its runs had
# returned an event.
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


class CrashRegistry:
    """Hold recent crashes and determine which subjects caused them.

    A subject is a request or a part that prompts share. Every request that
    ran at a crashed upstream is a suspect, and so is each part of its prompt.
    Others run concurrently with one that crashes upstreams repeatedly; if
    each were counted on its own, those that are repeated at the same time
    would be blocked as well. Therefore all crashes under the subject with the
    most crashes are attributed to it, and they do not count against any other
    one. A request that completes, and its parts, have caused none of the
    crashes before. Several upstreams that crash at one moment may have a
    common cause, so for what does not explain it the moment is one crash.

    The result depends only on the set of merged records, not on their order,
    so all routers reach the same result.
    """

    def __init__(
        self,
        to_block: int = CRASHES_TO_BLOCK,
        clock: Callable[[], float] = boot_s,
        attribute: Attribution = attribute_to_fewest,
        count_moments: MomentRule = count_moments_once,
    ) -> None:
        self._to_block = to_block
        self._attribute = attribute
        self._count_moments = count_moments
        self._clock = clock
        self._crashes: dict[UpstreamIncarnation, CrashState] = {}
        self._runs: dict[str, dict[Run, bool]] = {}
        self._causes = Causes(frozenset(), frozenset())
        self._suspected_parts: frozenset[str] = frozenset()
        self._counted: Mapping[str, Evidence] = {}
        self._moments: tuple[Moment, ...] = ()
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
                record = make_record(incarnation, crash)
                crash.digested = (record_digest(record), record)
            records[crash.digested[0]] = crash.digested[1]
        return records

    @property
    def blocked(self) -> frozenset[str]:
        """Return the fingerprints of the blocked requests and parts."""
        self._update_causes()
        return self._causes.blocked

    @property
    def ambiguous(self) -> frozenset[str]:
        """Return those blocked that may not have caused a crash."""
        self._update_causes()
        return self._causes.ambiguous

    @property
    def suspected_parts(self) -> frozenset[str]:
        """Return the parts that may have caused a crash.

        Their prompts had not completed before, and ran without an event.
        """
        self._update_causes()
        return self._suspected_parts

    @property
    def moments(self) -> tuple[Moment, ...]:
        """Return the groups of crashes at one moment, the earliest first."""
        self._update_causes()
        return self._moments

    def retry_after_s(self, subject: str) -> float:
        """Return the delay after which a blocked subject may be retried.

        The delay is short for a recent or ambiguous block, since reports of
        peers or probes may lift it long before it expires.
        """
        if subject not in self.blocked:
            return 0.0
        newest_s = 0.0
        for incarnation in self.incarnations(subject):
            newest_s = max(newest_s, self._crashes[incarnation].received_s)
        now_s = self._clock()
        recent = now_s < newest_s + REPORT_DELAY_S
        if subject in self._causes.ambiguous or recent:
            return PROVISIONAL_RETRY_S
        return max(0.0, newest_s + CRASH_TTL_S - now_s)

    def crash_count(self, subject: str) -> int:
        """Return the number of crashes under a subject, for any cause."""
        return len(self.incarnations(subject))

    def counted_crashes(self, subject: str) -> int:
        """Return the number of crashes that count against a subject.

        Crashes at one moment that it does not explain count as one.
        """
        self._update_causes()
        counted = self._counted.get(subject)
        if counted is None:
            return self.crash_count(subject)
        return len(counted.incarnations)

    def incarnations(self, subject: str) -> frozenset[UpstreamIncarnation]:
        """Return the upstream incarnations that crashed under a subject."""
        runs = self._runs.get(subject, {})
        return frozenset(incarnation for incarnation, _ in runs)

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
            crash = CrashState(self._clock())
            self._crashes[record.start] = crash
            new = True
        if record.crashed_ms and (
            not crash.crashed_ms or record.crashed_ms < crash.crashed_ms
        ):
            crash.crashed_ms = record.crashed_ms
            crash.digested = None
            new = True
        if record.gone and not crash.gone:
            crash.gone = True
            crash.digested = None
            new = True
        for subject in record.cleared:
            new |= self._exonerate_in(record.start, crash, subject)
        if not crash.proven.issuperset(record.proven):
            crash.proven.update(record.proven)
            crash.digested = None
            new = True
        for suspect in record.suspects:
            new |= self._add_suspect(record.start, crash, suspect)
        self._stale |= new
        return new

    def exonerate(self, subjects: Iterable[str]) -> tuple[CrashRecord, ...]:
        """Record that a request completed; return the updates to publish.

        ``subjects``: the request and the parts of its prompt.
        """
        cleared: dict[UpstreamIncarnation, list[str]] = {}
        for subject in subjects:
            for incarnation in self.incarnations(subject):
                self._exonerate_in(
                    incarnation, self._crashes[incarnation], subject
                )
                cleared.setdefault(incarnation, []).append(subject)
        updates = []
        for incarnation, found in cleared.items():
            updates.append(CrashRecord(incarnation, cleared=tuple(found)))
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
            for suspect in crash.suspects.values():
                self._remove_run(incarnation, suspect)
            del self._crashes[incarnation]
            self._stale = True

    def _add_suspect(
        self,
        incarnation: UpstreamIncarnation,
        crash: CrashState,
        suspect: Suspect,
    ) -> bool:
        if suspect.fingerprint in crash.cleared:
            return False
        known = crash.suspects.get(suspect.fingerprint)
        merged = merge_suspects(known, suspect)
        if merged == known:
            return False
        crash.suspects[suspect.fingerprint] = merged
        crash.digested = None
        run = (incarnation, merged.fingerprint)
        for subject in (merged.fingerprint, *merged.parts):
            if subject not in crash.cleared:
                self._runs.setdefault(subject, {})[run] = merged.begun
        return True

    def _exonerate_in(
        self,
        incarnation: UpstreamIncarnation,
        crash: CrashState,
        subject: str,
    ) -> bool:
        if subject in crash.cleared:
            return False
        crash.cleared.add(subject)
        crash.digested = None
        suspect = crash.suspects.pop(subject, None)
        if suspect is not None:
            self._remove_run(incarnation, suspect)
            return True
        for run in tuple(self._runs.get(subject, ())):
            if run[0] == incarnation:
                self._remove(subject, run)
        return True

    def _remove_run(
        self, incarnation: UpstreamIncarnation, suspect: Suspect
    ) -> None:
        for subject in (suspect.fingerprint, *suspect.parts):
            self._remove(subject, (incarnation, suspect.fingerprint))

    def _remove(self, subject: str, run: Run) -> None:
        runs = self._runs.get(subject, {})
        runs.pop(run, None)
        if not runs:
            self._runs.pop(subject, None)

    def _update_causes(self) -> None:
        if self._stale:
            times_ms = self._crash_times_ms()
            self._moments = find_moments(times_ms)
            self._counted = self._count_moments(self._evidence(), times_ms)
            self._causes = self._attribute(self._counted, self._to_block)
            self._suspected_parts = frozenset(self._find_suspected_parts())
            self._stale = False

    def _crash_times_ms(self) -> dict[UpstreamIncarnation, int]:
        times_ms = {}
        for incarnation, crash in self._crashes.items():
            if crash.crashed_ms:
                times_ms[incarnation] = crash.crashed_ms
        return times_ms

    def _evidence(self) -> dict[str, Evidence]:
        """Return the evidence against all that ran at several crashes."""
        evidence = {}
        for subject, runs in self._runs.items():
            if len(runs) >= self._to_block - 1:
                evidence[subject] = Evidence(
                    runs, is_part(subject), self._is_proven(subject)
                )
        return evidence

    def _find_suspected_parts(self) -> Iterator[str]:
        for subject, runs in self._runs.items():
            if not is_part(subject) or self._is_proven(subject):
                continue
            if not all(runs.values()):
                yield subject

    def _is_proven(self, part: str) -> bool:
        """Return whether prompts with it had completed before a crash."""
        for incarnation, _ in self._runs[part]:
            if part in self._crashes[incarnation].proven:
                return True
        return False
