"""Hold the tokens of a limit that any router may take.

Load pattern: the requests that count come to one router, or move to others
within a second, while the rest of the limit comes in at routers that do not
need it.
"""

from dataclasses import dataclass

from lacewing_daemon.direct.limits._allowance import Allowance

# A request that counts more than this fraction of the pool's capacity may
# take more than the pool holds. Otherwise smaller requests would keep the
# pool below what the largest need, and those would never run.
LARGE_FRACTION = 0.4
# Above this fraction of its capacity the pool takes no deposits.
FULL_FRACTION = 0.9
# Below this fraction of its capacity the pool needs deposits at once, and
# grants none in advance.
SHORT_FRACTION = 0.5


@dataclass(frozen=True)
class Granted:
    """Hold tokens that were taken from a pool."""

    tokens: float


@dataclass(frozen=True)
class Denied:
    """Report that a request does not fit, and when it would, in seconds."""

    wait_s: float


class TokenPool:
    """Grant tokens of one limit in the order in which they are asked for."""

    def __init__(self, allowance: Allowance, now: float) -> None:
        self._allowance = allowance
        self._capacity = 0.0
        self._tokens = 0.0
        self._denied = 0.0
        self._denied_s = now

    @property
    def tokens(self) -> float:
        """Return the tokens held; negative after a large request."""
        return self._tokens

    @property
    def is_full(self) -> bool:
        """Return whether the pool has no use for further tokens."""
        return self._tokens >= self._capacity * FULL_FRACTION

    @property
    def is_short(self) -> bool:
        """Return whether the pool needs tokens at once."""
        return self._tokens < self._capacity * SHORT_FRACTION

    def set_allowance(
        self, allowance: Allowance, settling_fraction: float
    ) -> None:
        """Change the limit, or the fraction of the routers that settle here.

        Keepers on both sides of a partition hold one whole pool together.
        """
        self._allowance = allowance
        self._capacity = allowance.pool_capacity * settling_fraction
        self._tokens = min(self._tokens, self._capacity)

    def deposit(self, tokens: float) -> None:
        """Add tokens up to the capacity; the rest expires."""
        room = self._capacity - self._tokens
        self._tokens += max(0.0, min(tokens, room))

    def withdraw_all(self) -> float:
        """Take everything, for the router that keeps the pool from now on."""
        taken = max(0.0, self._tokens)
        self._tokens -= taken
        return taken

    def grant(self, need: float, now: float) -> Granted | Denied:
        """Take what a request lacks, or return when it would fit.

        Requests that were denied are expected back in the same order.
        """
        large = self._capacity * LARGE_FRACTION
        if self._tokens >= min(need, large):
            self._tokens -= need
            return Granted(need)
        rate_per_s = self._allowance.rate_per_s
        expired = (now - self._denied_s) * rate_per_s
        self._denied = max(0.0, self._denied - expired) + need
        self._denied_s = now
        return Denied(max(0.0, self._denied - self._tokens) / rate_per_s)

    def grant_in_advance(self, wish: float) -> float:
        """Take what a router expects to need, as long as there is plenty."""
        reserve = self._capacity * SHORT_FRACTION
        taken = max(0.0, min(wish, self._tokens - reserve))
        self._tokens -= taken
        return taken
