"""Estimate the speed of each engine of one service.

Load: engines that differ in speed and whose machines are slowed by other
workloads, while each router observes an engine every few seconds only.
Deterministic: callers pass in the time, in monotonic seconds.
"""

from dataclasses import dataclass
from heapq import nlargest
from math import isfinite

from lacewing_daemon.direct._estimates import STEP_MS_BOUNDS
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct.engines._engine import clamp
from lacewing_daemon.direct.engines._engine import EngineSpeed
from lacewing_daemon.direct.engines._engine import FACTOR_BOUNDS
from lacewing_daemon.direct.engines._engine import MAX_SAMPLE_RATIO
from lacewing_daemon.direct.engines._engine import SLOWDOWN_BOUNDS
from lacewing_daemon.direct.engines._fit import Figures
from lacewing_daemon.direct.engines._fit import FIT_HALF_LIFE_S
from lacewing_daemon.direct.engines._fit import MAX_COUNT
from lacewing_daemon.direct.engines._fit import MAX_TOKENS
from lacewing_daemon.direct.engines._fit import ServiceFit
from lacewing_daemon.direct.engines._senders import SenderAllowance
from lacewing_daemon.direct.engines._sums import DecayedSums
from lacewing_daemon.direct.engines._sums import EngineSums
from lacewing_daemon.direct.engines._sums import FitSums
from lacewing_daemon.direct.engines._sums import ServiceSums

# A shorter queue counts as none: less than a step.
UNQUEUED_MS = 1.0
# Weight of the configured step time, and of no slowdown, in the figures of
# the service.
RUN_PRIOR_TOKENS = 500.0
SLOWDOWN_PRIOR_MS = 500.0
# Runs of several engines are alike but for outliers such as a stalled VM.
MAX_RUN_RATIO = 3.0
# Bounds the size of a message to 2 KB and the time to apply it to 1 ms. A
# router of the target size has samples of 23 engines per second.
MAX_SENT_ENGINES = 32
# Every decision reads the estimates of all engines; without new samples they
# change by less than 5 % in this time.
ESTIMATE_TTL_S = 0.2


@dataclass(frozen=True)
class FirstEvent:
    """Hold the time to the first event of a prompt.

    ``prefill_tokens``: the part of the prompt that was not cached.
    ``queued_ms``: the time that the prompts ahead of it were expected to take
    at the usual speed of the service. ``slowdown``: what the engine reported
    of its machine with the answer, None if it reported nothing.
    ``unsure_tokens``: the part of ``prefill_tokens`` that prompts of other
    routers may have left in the cache.
    """

    prefill_tokens: float
    queued_ms: float
    took_ms: float
    slowdown: float | None = None
    unsure_tokens: float = 0.0


@dataclass(frozen=True)
class EngineEstimate:
    """Hold the current figures of an engine.

    ``factor``: ratio of its times to those of the service on machines that
    are not slowed; already contained in the others.
    """

    tokens_per_ms: float
    step_ms: float
    fixed_ms: float
    factor: float


@dataclass(frozen=True)
class _CachedEstimate:
    """Hold an estimate and when it was computed."""

    estimate: EngineEstimate
    at_s: float


class EngineModels:
    """Estimate the figures of each engine of one service.

    Hierarchical shrinkage: with few samples, the recent factor of an engine
    is near its usual one, that is near the service's, and the service's
    figures are near the configured ones.
    """

    def __init__(self, policy: LoadPolicy) -> None:
        self._default_step_ms = policy.step_ms
        self._fit = ServiceFit(
            Figures(policy.step_ms, 1.0 / policy.prefill_tokens_per_ms)
        )
        self._runs = DecayedSums(FIT_HALF_LIFE_S, 2)
        self._slowdowns = DecayedSums(FIT_HALF_LIFE_S, 2)
        self._engines: dict[str, EngineSpeed] = {}
        self._unknown_engine = EngineSpeed()
        self._estimates: dict[str, _CachedEstimate] = {}
        self._latest_s = 0.0
        self._unsent_fit: FitSums | None = None
        self._unsent: dict[str, EngineSums] = {}
        self._allowances: dict[str, SenderAllowance] = {}

    @property
    def latest_service_estimate(self) -> EngineEstimate:
        """Return the figures of the service as of the latest estimate."""
        return self.service_estimate(self._latest_s)

    @property
    def engines(self) -> tuple[str, ...]:
        """Return the ids of the engines with samples."""
        return tuple(self._engines)

    def service_estimate(self, now_s: float) -> EngineEstimate:
        """Return the figures of an engine without samples."""
        return self._estimate(self._unknown_engine, now_s)

    def estimate(self, upstream_id: str, now_s: float) -> EngineEstimate:
        """Return the figures of one engine."""
        cached = self._estimates.get(upstream_id)
        if cached is not None and 0 <= now_s - cached.at_s < ESTIMATE_TTL_S:
            return cached.estimate
        engine = self._engines.get(upstream_id, self._unknown_engine)
        estimate = self._estimate(engine, now_s)
        self._estimates[upstream_id] = _CachedEstimate(estimate, now_s)
        return estimate

    def share(self, upstream_id: str, now_s: float) -> float:
        """Return an engine's share of the subjects, 1.0 for the usual one."""
        engine = self._engines.get(upstream_id)
        if engine is None:
            return 1.0
        return engine.share(self._fit.figures(now_s), now_s)

    def record_first_event(
        self, upstream_id: str, event: FirstEvent, now_s: float
    ) -> None:
        """Record a first event that this router has received."""
        if not event.took_ms > 0:
            return
        engine = self._engine(upstream_id)
        unsent = self._unsent_sums(upstream_id)
        figures = self._fit.figures(now_s)
        slowdown = engine.slowdown(self._slowdown(now_s), now_s)
        if event.slowdown is not None:
            slowdown = clamp(event.slowdown, SLOWDOWN_BOUNDS)
        # In tokens, queues remain correct when the speed of the service is
        # estimated anew, and at routers that estimate it differently.
        tokens = event.prefill_tokens + event.queued_ms / figures.token_ms
        factor = engine.factor(figures, now_s)
        took_ms = event.took_ms / slowdown
        if event.unsure_tokens > 0:
            # Whether these were cached is taken to be as the current estimate
            # explains best. Counted in full, cached parts would make engines
            # look three times as fast.
            explained = (
                took_ms / factor - figures.fixed_ms
            ) / figures.token_ms
            tokens = clamp(explained, (tokens - event.unsure_tokens, tokens))
        likely_ms = figures.expected_ms(1.0, tokens) * factor
        took_ms = _near(took_ms, likely_ms, MAX_SAMPLE_RATIO)
        if event.queued_ms < UNQUEUED_MS:
            sums = self._fit.record(tokens, took_ms, now_s)
            self._unsent_fit = _added(self._unsent_fit, sums)
        engine.add_first_events(1.0, tokens, took_ms, now_s)
        engine.add_slowdown(took_ms, took_ms * slowdown, now_s)
        self._slowdowns.add((took_ms, took_ms * slowdown), now_s)
        unsent.count += 1
        unsent.tokens += tokens
        unsent.took_ms += took_ms
        unsent.slowed_ms += took_ms * slowdown

    def record_run(
        self, upstream_id: str, tokens: float, took_ms: float, now_s: float
    ) -> None:
        """Record a run of ``tokens`` from its first event to its end."""
        if not (tokens > 0 and took_ms > 0):
            return
        engine = self._engine(upstream_id)
        likely_ms = tokens * engine.step_ms(self._step_ms(now_s), now_s)
        took_ms = _near(took_ms, likely_ms, MAX_RUN_RATIO)
        engine.add_run(tokens, took_ms, now_s)
        self._runs.add((tokens, took_ms), now_s)
        unsent = self._unsent_sums(upstream_id)
        unsent.run_tokens += tokens
        unsent.run_ms += took_ms

    def forget(self, upstream_id: str) -> None:
        """Drop the samples of an incarnation that has ended."""
        self._engines.pop(upstream_id, None)
        self._estimates.pop(upstream_id, None)
        self._unsent.pop(upstream_id, None)

    def collect(self) -> ServiceSums | None:
        """Return this router's samples since the last call, None if none.

        Those of engines beyond MAX_SENT_ENGINES are dropped.
        """
        if not self._unsent:
            return None
        engines = self._unsent
        if len(engines) > MAX_SENT_ENGINES:
            most = nlargest(
                MAX_SENT_ENGINES, engines, key=lambda name: engines[name].count
            )
            engines = {name: engines[name] for name in most}
        sums = ServiceSums(self._unsent_fit or FitSums(), engines)
        self._unsent_fit = None
        self._unsent = {}
        return sums

    def apply(self, sender: str, sums: ServiceSums, now_s: float) -> None:
        """Add samples of another router as if this one had taken them."""
        self._fit.apply(sender, sums.fit, now_s)
        allowance = self._allowances.setdefault(sender, SenderAllowance())
        for upstream_id, engine_sums in sums.engines.items():
            if not _is_plausible(engine_sums):
                continue
            count = max(1, engine_sums.count)
            allowed = allowance.take(upstream_id, count, now_s)
            if allowed > 0:
                self._apply_engine(upstream_id, engine_sums, allowed, now_s)

    def forget_sender(self, sender: str) -> None:
        """Drop what is kept by sender.

        Its samples of engines remain: they expire within seconds.
        """
        self._fit.forget(sender)
        self._allowances.pop(sender, None)

    def _apply_engine(
        self, upstream_id: str, sums: EngineSums, allowed: float, now_s: float
    ) -> None:
        engine = self._engine(upstream_id)
        if sums.count > 0:
            figures = self._fit.figures(now_s)
            likely_ms = figures.expected_ms(sums.count, sums.tokens)
            likely_ms *= engine.factor(figures, now_s)
            slowdown = _near(
                sums.slowed_ms / max(sums.took_ms, 1e-9),
                engine.slowdown(self._slowdown(now_s), now_s),
                MAX_SAMPLE_RATIO,
            )
            took_ms = _near(sums.took_ms, likely_ms, MAX_SAMPLE_RATIO)
            took_ms *= allowed
            engine.add_first_events(
                sums.count * allowed, sums.tokens * allowed, took_ms, now_s
            )
            engine.add_slowdown(took_ms, took_ms * slowdown, now_s)
            self._slowdowns.add((took_ms, took_ms * slowdown), now_s)
        if sums.run_tokens > 0:
            likely_ms = sums.run_tokens * engine.step_ms(
                self._step_ms(now_s), now_s
            )
            took_ms = _near(sums.run_ms, likely_ms, MAX_RUN_RATIO) * allowed
            engine.add_run(sums.run_tokens * allowed, took_ms, now_s)
            self._runs.add((sums.run_tokens * allowed, took_ms), now_s)

    def _estimate(self, engine: EngineSpeed, now_s: float) -> EngineEstimate:
        self._latest_s = now_s
        figures = self._fit.figures(now_s)
        factor = engine.factor(figures, now_s)
        factor *= engine.slowdown(self._slowdown(now_s), now_s)
        factor = clamp(factor, FACTOR_BOUNDS)
        return EngineEstimate(
            1.0 / (figures.token_ms * factor),
            clamp(engine.step_ms(self._step_ms(now_s), now_s), STEP_MS_BOUNDS),
            figures.fixed_ms * factor,
            factor,
        )

    def _engine(self, upstream_id: str) -> EngineSpeed:
        """Return an engine that gets samples; its estimate is outdated."""
        self._estimates.pop(upstream_id, None)
        engine = self._engines.get(upstream_id)
        if engine is None:
            engine = EngineSpeed()
            self._engines[upstream_id] = engine
        return engine

    def _unsent_sums(self, upstream_id: str) -> EngineSums:
        sums = self._unsent.get(upstream_id)
        if sums is None:
            sums = EngineSums()
            self._unsent[upstream_id] = sums
        return sums

    def _step_ms(self, now_s: float) -> float:
        tokens, took_ms = self._runs.at(now_s)
        took_ms += RUN_PRIOR_TOKENS * self._default_step_ms
        return took_ms / (tokens + RUN_PRIOR_TOKENS)

    def _slowdown(self, now_s: float) -> float:
        took_ms, slowed_ms = self._slowdowns.at(now_s)
        return (slowed_ms + SLOWDOWN_PRIOR_MS) / (took_ms + SLOWDOWN_PRIOR_MS)


def _near(value: float, likely: float, max_ratio: float) -> float:
    """Return the value within a ratio of a likely one."""
    return min(likely * max_ratio, max(likely / max_ratio, value))


def _added(before: FitSums | None, sums: FitSums) -> FitSums:
    if before is None:
        return sums
    return FitSums(
        before.count + sums.count,
        before.weight + sums.weight,
        before.tokens + sums.tokens,
        before.tokens_squared + sums.tokens_squared,
        before.took_ms + sums.took_ms,
        before.product + sums.product,
    )


def _is_plausible(sums: EngineSums) -> bool:
    """Return whether sums can be those of a router's samples."""
    values = (
        sums.count,
        sums.tokens,
        sums.took_ms,
        sums.slowed_ms,
        sums.run_tokens,
        sums.run_ms,
    )
    for value in values:
        if not isfinite(value) or value < 0:
            return False
    if sums.count > MAX_COUNT:
        return False
    return (
        sums.tokens <= sums.count * MAX_TOKENS
        and sums.run_tokens <= MAX_COUNT * MAX_TOKENS
    )
