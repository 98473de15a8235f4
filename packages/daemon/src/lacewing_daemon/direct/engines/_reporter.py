"""Expose the speed of engines as metrics and log lines."""

from dataclasses import dataclass

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._line_budget import LineBudget
from lacewing_daemon.direct._metrics import ENGINE_FACTOR
from lacewing_daemon.direct._metrics import EXPECTATION_ERROR_SECONDS
from lacewing_daemon.direct.engines._model import EngineEstimate

# Engines beyond this number have no gauge: each scrape reads all of them.
MAX_GAUGES = 128
# Gauges of engines without first events for this long are removed.
GAUGE_TTL_S = 60.0
# Twice the usual time is beyond what distinguishes sound engines. The gap
# between the two keeps an engine near one of them from being logged often.
SLOW_FACTOR = 2.0
USUAL_FACTOR = 1.5
MIN_LOG_INTERVAL_S = 10.0

_MS = 1000.0
_log = get_log(Part.PLACEMENT)


@dataclass
class _Reported:
    """Hold what was last reported of an engine."""

    at_s: float
    is_slow: bool = False
    logged_s: float = float('-inf')
    has_gauge: bool = False


class SpeedReporter:
    """Report estimates whenever a first event has changed them."""

    def __init__(self, now_s: float) -> None:
        self._engines: dict[tuple[str, str], _Reported] = {}
        self._gauges = 0
        self._pruned_s = now_s
        self._lines = LineBudget(now_s)

    def report(
        self,
        service: str,
        upstream_id: str,
        estimate: EngineEstimate,
        error_ms: float,
        now_s: float,
    ) -> None:
        """Report an engine after a first event ``error_ms`` too late."""
        EXPECTATION_ERROR_SECONDS.labels(service).observe(error_ms / _MS)
        self._prune(now_s)
        key = (service, upstream_id)
        reported = self._engines.setdefault(key, _Reported(now_s))
        reported.at_s = now_s
        if not reported.has_gauge and self._gauges < MAX_GAUGES:
            reported.has_gauge = True
            self._gauges += 1
        if reported.has_gauge:
            ENGINE_FACTOR.labels(*key).set(estimate.factor)
        limit = USUAL_FACTOR if reported.is_slow else SLOW_FACTOR
        is_slow = estimate.factor >= limit
        if is_slow == reported.is_slow:
            return
        if now_s - reported.logged_s < MIN_LOG_INTERVAL_S:
            return
        reported.is_slow = is_slow
        reported.logged_s = now_s
        if self._lines.allow(is_slow, now_s):
            _log.info(
                'An engine is slow.'
                if is_slow
                else 'An engine is no longer slow.',
                service=service,
                upstream=upstream_id,
                factor=round(estimate.factor, 2),
                tokens_per_ms=round(estimate.tokens_per_ms, 1),
                fixed_ms=int(estimate.fixed_ms),
            )

    def _prune(self, now_s: float) -> None:
        if now_s - self._pruned_s < GAUGE_TTL_S:
            return
        self._pruned_s = now_s
        for key, reported in list(self._engines.items()):
            if now_s - reported.at_s < GAUGE_TTL_S:
                continue
            del self._engines[key]
            if reported.has_gauge:
                self._gauges -= 1
                ENGINE_FACTOR.remove(*key)
