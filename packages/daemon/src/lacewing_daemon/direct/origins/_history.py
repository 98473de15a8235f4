"""Tell whether a service had only one software version for some time."""

from collections.abc import Callable
from collections.abc import Iterable
from math import inf
from math import isinf

from lacewing_daemon.direct._upstream import Software
from lacewing_daemon.direct._upstream import Upstream

# A confirmed list is at most this old: a call that waits for changes, and the
# time until the next one.
MAX_LIST_AGE_S = 3.5
# Versions that have left are forgotten after this; nothing is known of longer
# times.
MAX_HISTORY_S = 300.0


class SoftwareHistory:
    """Remember which software versions upstreams had.

    ``present`` returns the upstreams of a service. ``first_start``: the whole
    system is starting for the first time. No stream can have begun before
    the process then, so the first list tells the versions of all time.
    """

    def __init__(
        self,
        present: Callable[[str], Iterable[Upstream]],
        clock: Callable[[], float],
        first_start: bool = False,
    ) -> None:
        self._present = present
        self._clock = clock
        self._first_start = first_start
        self._claims_first_start = False
        self._observed_since_s: float | None = None
        self._left_s: dict[tuple[str, Software], float] = {}
        self._recorded: dict[str, frozenset[str]] = {}
        # As last read, and when; kept while the list is not observed.
        self._last_read: dict[str, tuple[frozenset[str], float]] = {}
        self._first_read_s: dict[tuple[str, str], float] = {}

    @property
    def claims_first_start(self) -> bool:
        """Return whether a first start is stated and not settled yet."""
        return self._claims_first_start

    @property
    def observed_s(self) -> float:
        """Return for how long versions are known, infinite for all time."""
        if self._observed_since_s is None:
            return 0.0
        return self._clock() - self._observed_since_s

    def confirm(self, list_age_s: float) -> None:
        """Record how old the list of upstreams is, several times a second.

        The age is infinite before the first list.
        """
        if list_age_s > MAX_LIST_AGE_S:
            # An upstream may have come and gone meanwhile.
            self._observed_since_s = None
            self._recorded.clear()
            if not isinf(list_age_s):
                self._first_start = False
                self._claims_first_start = False
        elif self._observed_since_s is None:
            self._observed_since_s = (
                -inf if self._first_start else self._clock()
            )
            self._first_start = False
        oldest_s = self._clock() - MAX_HISTORY_S
        for key, left_s in tuple(self._left_s.items()):
            if left_s < oldest_s:
                del self._left_s[key]

    def suspend_first_start(self) -> None:
        """Take no first start for granted until it is settled."""
        self._claims_first_start |= self._first_start
        self._first_start = False

    def settle_first_start(self, is_first: bool) -> None:
        """Record whether no record of an earlier start exists.

        A list that was not confirmed meanwhile has ended the claim.
        """
        if self._claims_first_start and is_first:
            self._first_start = self._observed_since_s is None
            if self._observed_since_s is not None:
                self._observed_since_s = -inf
        self._claims_first_start = False

    def replaced(self, before: Upstream) -> None:
        """Record that an entry was removed or names another version."""
        self._left_s[before.service, before.software] = self._clock()

    def set_recorded(self, service: str, versions: frozenset[str]) -> None:
        """Set the versions that any router has seen, as the store has them.

        Read since the list is observed, they include all versions before.
        """
        if not versions:
            return
        now_s = self._clock()
        self._recorded[service] = versions
        self._last_read[service] = (versions, now_s)
        for key in tuple(self._first_read_s):
            if key[0] == service and key[1] not in versions:
                del self._first_read_s[key]
        for software in versions:
            self._first_read_s.setdefault((service, software), now_s)

    def recently_recorded(self, service: str) -> frozenset[str]:
        """Return recorded versions that the list may not have yet."""
        since_s = self._clock() - MAX_LIST_AGE_S
        return frozenset(
            software
            for (known, software), first_s in self._first_read_s.items()
            if known == service and first_s > since_s
        )

    def store_restored(self) -> None:
        """Remember the recorded versions: the store may have lost some.

        Those that are gone had left before they were read.
        """
        for service, (versions, read_s) in self._last_read.items():
            for software in versions:
                key = (service, software)
                left_s = self._left_s.get(key, read_s)
                self._left_s[key] = max(left_s, read_s)

    def has_recorded(self, service: str) -> bool:
        """Return whether versions were set since the list is observed."""
        return service in self._recorded

    def recent_software(self, service: str) -> frozenset[str]:
        """Return the known versions since the list is observed.

        Empty if one of them is unknown.
        """
        versions = self._versions_since(service, MAX_HISTORY_S)
        named = frozenset(each for each in versions if isinstance(each, str))
        return named if len(named) == len(versions) else frozenset()

    def present_software(self, service: str) -> set[Software]:
        """Return the versions of the upstreams that are there."""
        return {each.software for each in self._present(service)}

    def only_software(self, service: str, since_s: float) -> str | None:
        """Return the only version of the last seconds, None if unknown.

        Of a version that appears this router learns within the age of its
        list.
        """
        now_s = self._clock()
        observed_since_s = self._observed_since_s
        if observed_since_s is None or since_s > MAX_HISTORY_S:
            return None
        versions = self._versions_since(service, since_s)
        if now_s - observed_since_s < since_s:
            recorded = self._recorded.get(service)
            if recorded is None:
                return None
            versions |= recorded
        if len(versions) != 1:
            return None
        only = versions.pop()
        return only if isinstance(only, str) else None

    def _versions_since(self, service: str, since_s: float) -> set[Software]:
        """Return the versions that were observed in the last seconds."""
        now_s = self._clock()
        versions = self.present_software(service)
        for (left_service, software), left_s in self._left_s.items():
            if left_service == service and now_s - left_s < since_s:
                versions.add(software)
        return versions
