"""Tell other routers how much of the retry budget this one has used.

This module does no I/O; times are given by the caller.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from lacewing_daemon.direct._budget import OtherRetries
from lacewing_daemon.direct._budget import RetryBudget

# Figures of routers that are heard of less often than this say little about
# their retries now.
KNOWN_AGE_S = 1.5
# As for others' load: with fewer routers the rest is a guess.
MIN_HEARD_FRACTION = 0.6
MAX_COUNT = 1_000_000
MAX_SERVICES = 64


class _Counts(msgspec.Struct, frozen=True, array_like=True):
    requests: int
    retries: int


@dataclass(frozen=True)
class _Told:
    """Hold the counts of one router and when they arrived."""

    services: Mapping[str, _Counts]
    at_s: float


_decoder = msgspec.msgpack.Decoder(dict[str, _Counts])


class RetrySection:
    """Sum what other routers used of the retry budgets.

    ``budgets`` returns this router's budgets by service, ``other_count`` the
    number of other routers.
    """

    def __init__(
        self,
        budgets: Callable[[], Mapping[str, RetryBudget]],
        other_count: Callable[[], int],
        window_s: Callable[[], float],
    ) -> None:
        self._budgets = budgets
        self._other_count = other_count
        self._window_s = window_s
        self._told: dict[str, _Told] = {}

    @property
    def name(self) -> str:
        """Return the name of the section."""
        return 'retries'

    def collect(self, now_s: float, full: bool) -> object | None:
        """Return the counts of the last window, None without requests."""
        counts = {}
        for service, budget in self._budgets().items():
            requests, retries = budget.counts(now_s)
            if requests:
                counts[service] = _Counts(requests, retries)
        return counts or None

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Replace what a router told; raises ``msgspec.DecodeError``."""
        services: dict[str, _Counts] = {}
        for service, told in _decoder.decode(data).items():
            if len(services) >= MAX_SERVICES:
                break
            services[service] = _Counts(
                min(MAX_COUNT, max(0, told.requests)),
                min(MAX_COUNT, max(0, told.retries)),
            )
        self._told[sender] = _Told(services, now_s)

    def forget(self, sender: str) -> None:
        """Keep the counts of a lost router: its retries were made."""

    def others(self, service: str, now_s: float) -> OtherRetries | None:
        """Return what other routers used, None if too few are heard of.

        Those that are not heard of are taken to use as much as the others.
        """
        oldest_s = now_s - self._window_s()
        requests = retries = heard = 0
        for sender, told in tuple(self._told.items()):
            if told.at_s < oldest_s:
                del self._told[sender]
                continue
            heard += told.at_s >= now_s - KNOWN_AGE_S
            counts = told.services.get(service)
            if counts is not None:
                requests += counts.requests
                retries += counts.retries
        count = self._other_count()
        if not heard or heard < MIN_HEARD_FRACTION * count:
            return None
        scale = max(1.0, count / heard)
        return OtherRetries(requests, retries * scale)
