"""Keep prompts with suspected parts apart from others.

This module does no I/O.
"""

from collections.abc import Sequence

from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_daemon.direct.crashes._registry import CrashRegistry
from lacewing_daemon.rendezvous import rank_workers

# One upstream in so many takes the prompts with suspected parts.
UPSTREAMS_PER_ISOLATED = 8
MAX_ISOLATED = 4
# Other prompts stay away from these for this long after a crash. By then most
# harmless parts are cleared, and what crashes upstreams has crashed another.
AVOID_S = 3.0


class Isolation:
    """Choose upstreams for prompts with suspected parts, and for others.

    Until the cause of a crash is known, a further crash then interrupts few
    other runs, and prompts that come at the same time crash one upstream
    together in place of one each.
    """

    def __init__(self, registry: CrashRegistry) -> None:
        self._registry = registry

    @property
    def is_active(self) -> bool:
        """Return whether any part is suspected."""
        return bool(self._registry.suspected_parts)

    def excluded(
        self,
        subjects: RequestSubjects,
        service: str,
        upstream_ids: Sequence[str],
    ) -> frozenset[str]:
        """Return the upstreams that a request should not be sent to."""
        if len(upstream_ids) < 2 or not self.is_active:
            return frozenset()
        if self.is_suspected(subjects):
            isolated = _isolated(service, upstream_ids)
            return frozenset(upstream_ids) - isolated
        if self._registry.newest_age_s < AVOID_S:
            return _isolated(service, upstream_ids)
        return frozenset()

    def is_suspected(self, subjects: RequestSubjects) -> bool:
        """Return whether a request has a suspected part."""
        suspected = self._registry.suspected_parts
        return bool(suspected) and not suspected.isdisjoint(subjects.parts)

    def may_mix(self, subjects: RequestSubjects) -> bool:
        """Return whether a request may be sent anywhere if it must.

        A part under which several upstreams have crashed may not; crashes
        that count as one are not several.
        """
        for part in subjects.parts:
            if part not in self._registry.suspected_parts:
                continue
            if self._registry.counted_crashes(part) > 1:
                return False
        return True


def _isolated(service: str, upstream_ids: Sequence[str]) -> frozenset[str]:
    """Return upstreams on which all routers agree that see the same ones."""
    count = len(upstream_ids) // UPSTREAMS_PER_ISOLATED
    count = max(1, min(MAX_ISOLATED, count))
    key = f'crash suspects of {service}'.encode()
    return frozenset(rank_workers(key, tuple(upstream_ids), count))
