"""Estimate which share of the load of a service's engines is this router's.

This module does no I/O; times are given by the caller.
"""

from math import exp

# Reports of engines are some hundred ms old and are compared with this
# router's requests now, so that a single one says little.
SMOOTHING_S = 0.2
# Without reports for this long the share is unknown.
SHARE_TTL_S = 2.0


class LoadShare:
    """Compare this router's open requests with what engines report."""

    def __init__(self) -> None:
        self._own = 0.0
        self._others = 0.0
        self._observed_s: float | None = None

    def observe(self, own: int, others: int, now_s: float) -> None:
        """Record the requests at the engines with recent reports."""
        if own + others <= 0:
            return
        weight = 1.0
        if self._observed_s is not None:
            weight -= exp(-(now_s - self._observed_s) / SMOOTHING_S)
        self._own += weight * (own - self._own)
        self._others += weight * (others - self._others)
        self._observed_s = now_s

    def share(self, now_s: float) -> float | None:
        """Return the share from 0 to 1, None if it is unknown."""
        if self._observed_s is None or now_s > self._observed_s + SHARE_TTL_S:
            return None
        return self._own / (self._own + self._others)
