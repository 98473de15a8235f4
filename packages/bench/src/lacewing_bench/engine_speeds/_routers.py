"""Model routers that expect first events, by engine and by service."""

from typing import Protocol

import msgspec
from lacewing_daemon.direct._estimates import apply_estimates
from lacewing_daemon.direct._estimates import ESTIMATE_INTERVAL_S
from lacewing_daemon.direct._estimates import Estimates
from lacewing_daemon.direct._estimates import PrefillSample
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._upstream import Upstream
from lacewing_daemon.direct._upstream_state import UpstreamState
from lacewing_daemon.direct.engines import EngineSpeeds
from lacewing_daemon.direct.engines import FirstEvent

from lacewing_bench.engine_speeds._engine import Work

SERVICE = 'models'


class ModelRouter(Protocol):
    """Expect first events and learn from them."""

    def expected_ms(
        self, engine: str, tokens: int, queued_tokens: float, now_s: float
    ) -> float:
        """Return the expected time to a first event."""

    def observe(
        self, engine: str, tokens: int, work: Work, now_s: float
    ) -> None:
        """Learn from a first event."""

    def collect(self, now_s: float) -> bytes | None:
        """Return a message to the other routers, None for none."""

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Learn from a message of another router."""


class ServiceRouter:
    """Use one speed for all engines and the lateness of each, as before."""

    def __init__(self) -> None:
        self._estimates = Estimates()
        self._policy = LoadPolicy()
        self._computed_s = 0.0
        self._states: dict[str, UpstreamState] = {}

    def expected_ms(
        self, engine: str, tokens: int, queued_tokens: float, now_s: float
    ) -> float:
        """Return the expected time to a first event."""
        lateness_ms = self._state(engine).lateness_ms(now_s)
        return self._usual_ms(tokens, queued_tokens, now_s) + lateness_ms

    def observe(
        self, engine: str, tokens: int, work: Work, now_s: float
    ) -> None:
        """Learn from a first event."""
        expected_ms = self._usual_ms(tokens, work.queued_tokens, now_s)
        self._state(engine).record_lateness(work.took_ms - expected_ms, now_s)
        if work.queued_tokens == 0:
            self._estimates.record_prefill(
                PrefillSample(now_s, tokens, 0, work.took_ms)
            )

    def collect(self, now_s: float) -> bytes | None:
        """Return no message."""
        return None

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Ignore messages."""

    def _usual_ms(
        self, tokens: int, queued_tokens: float, now_s: float
    ) -> float:
        if now_s - self._computed_s >= ESTIMATE_INTERVAL_S:
            self._computed_s = now_s
            self._policy = apply_estimates(
                LoadPolicy(), self._estimates, now_s
            )
        policy = self._policy
        work = tokens + queued_tokens
        return work / policy.prefill_tokens_per_ms + policy.step_ms

    def _state(self, engine: str) -> UpstreamState:
        state = self._states.get(engine)
        if state is None:
            state = UpstreamState(
                Upstream(engine, SERVICE, '', 'z', 48, False, {})
            )
            self._states[engine] = state
        return state


class EngineRouter:
    """Use a model of each engine."""

    def __init__(self) -> None:
        self._speeds = EngineSpeeds(LoadPolicy(), lambda _service, _id: True)

    @property
    def speeds(self) -> EngineSpeeds:
        """Return its models."""
        return self._speeds

    def expected_ms(
        self, engine: str, tokens: int, queued_tokens: float, now_s: float
    ) -> float:
        """Return the expected time to a first event."""
        models = self._speeds.models(SERVICE)
        estimate = models.estimate(engine, now_s)
        work = tokens + queued_tokens
        return work / estimate.tokens_per_ms + estimate.fixed_ms

    def observe(
        self, engine: str, tokens: int, work: Work, now_s: float
    ) -> None:
        """Learn from a first event."""
        models = self._speeds.models(SERVICE)
        usual = models.service_estimate(now_s)
        speed = usual.tokens_per_ms * usual.factor
        models.record_first_event(
            engine,
            FirstEvent(
                tokens,
                work.queued_tokens / speed,
                work.took_ms,
                work.slowdown,
            ),
            now_s,
        )

    def collect(self, now_s: float) -> bytes | None:
        """Return a message with its samples since the last one."""
        message = self._speeds.collect(now_s, False)
        return None if message is None else msgspec.msgpack.encode(message)

    def apply(self, sender: str, data: bytes, now_s: float) -> None:
        """Learn from a message of another router."""
        self._speeds.apply(sender, data, now_s)
