"""Hold the limits that upstreams name in their answers."""

import time
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import MALFORMED_STATEMENTS
from lacewing_daemon.direct._metrics import UPSTREAM_LIMIT
from lacewing_daemon.direct._routing_config import Quota
from lacewing_daemon.direct._site import Unstated
from lacewing_daemon.direct._upstream import Upstream

# An upstream that takes nothing is asked this often whether it still says so.
MIN_LIMIT_PER_S = 0.1
# The end of a limit is remembered for this long, as other routers may report
# from before it.
REMEMBER_END_S = 10.0
# A limit that no router has seen named for this long belongs to an upstream
# that has ended or gets no requests.
FORGET_LIMIT_S = 60.0

_log = get_log(Part.LIMITS)


@dataclass(frozen=True)
class NamedLimit:
    """Hold what an upstream said last, on the local monotonic clock.

    ``rate_per_s``: the requests that it takes from all routers together, None
    once it names no limit.
    """

    rate_per_s: float | None
    stated_s: float


class NamedLimits:
    """Hold the latest statement of each incarnation of an upstream."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._limits: dict[str, NamedLimit] = {}
        self._quotas: Mapping[str, Quota] = {}

    @property
    def limits(self) -> Mapping[str, NamedLimit]:
        """Return the latest statements by incarnation, ends included."""
        return self._limits

    @property
    def quotas(self) -> Mapping[str, Quota]:
        """Return the limits in force; each change is a new mapping."""
        return self._quotas

    def rate_per_s(self, incarnation: str) -> float | None:
        """Return the limit in force, None for none."""
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.rate_per_s

    def record(
        self, upstream: Upstream, stated: float | Unstated, sent_s: float
    ) -> bool:
        """Record what an answer says; return whether a limit has changed.

        ``sent_s``: when its request was sent. Answers overtake each other, so
        one without a limit ends a limit only if it was asked for after that
        was named.
        """
        if stated is Unstated.MALFORMED:
            MALFORMED_STATEMENTS.labels('limit').inc()
            return False
        if not isinstance(stated, Unstated):
            rate_per_s = max(MIN_LIMIT_PER_S, stated)
            return self.apply(
                upstream.incarnation, NamedLimit(rate_per_s, self._clock())
            )
        if self.rate_per_s(upstream.incarnation) is None:
            return False
        return self.apply(upstream.incarnation, NamedLimit(None, sent_s))

    def apply(self, incarnation: str, limit: NamedLimit) -> bool:
        """Apply a statement unless a later one is known."""
        before = self._limits.get(incarnation)
        if before is not None and limit.stated_s <= before.stated_s:
            return False
        self._limits[incarnation] = limit
        known_per_s = None if before is None else before.rate_per_s
        if limit.rate_per_s == known_per_s:
            return False
        self._update_quotas()
        upstream_id = _upstream_id(incarnation)
        if limit.rate_per_s is None:
            UPSTREAM_LIMIT.remove(upstream_id)
            _log.info('An upstream names no limit.', upstream=upstream_id)
            return True
        UPSTREAM_LIMIT.labels(upstream_id).set(limit.rate_per_s)
        _log.info(
            'An upstream names a limit.',
            upstream=upstream_id,
            requests_per_s=limit.rate_per_s,
            before=known_per_s,
        )
        return True

    def forget_old(self) -> None:
        """Remove old statements."""
        now = self._clock()
        for incarnation, limit in tuple(self._limits.items()):
            age_s = now - limit.stated_s
            if limit.rate_per_s is None and age_s > REMEMBER_END_S:
                del self._limits[incarnation]
            if limit.rate_per_s is not None and age_s > FORGET_LIMIT_S:
                del self._limits[incarnation]
                UPSTREAM_LIMIT.remove(_upstream_id(incarnation))
                self._update_quotas()

    def _update_quotas(self) -> None:
        quotas = {}
        for incarnation, limit in self._limits.items():
            if limit.rate_per_s is not None:
                quotas[incarnation] = Quota(limit.rate_per_s, 0.0)
        self._quotas = quotas


def _upstream_id(incarnation: str) -> str:
    return incarnation.rpartition('/')[0]
