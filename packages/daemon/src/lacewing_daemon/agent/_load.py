"""Join the agent's own view of the load with the worker's late one."""

import time

import msgspec
from lacewing_common.wire import LoadReport

from lacewing_daemon.agent._admission import Admission

_GAIN = 0.1
_FIRST_TOKEN_MS = 0.2


class EngineLoad(msgspec.Struct, frozen=True):
    """Hold what the worker says of its load, some time late."""

    epoch: str = ''
    running: int = 0
    waiting: int = 0
    waiting_prefill_tokens: int = 0
    cached_blocks: int = 0
    capacity_blocks: int = 0
    age_ms: float = 0.0


class LoadView:
    """Estimate how long a new request waits at this worker."""

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._engine = EngineLoad()
        self._heard_at = time.monotonic()
        self._prefill_ms = _FIRST_TOKEN_MS

    @property
    def prefill_ms_per_token(self) -> float:
        """Return the time to first token for each token not cached."""
        return self._prefill_ms

    def report(self) -> LoadReport:
        """Return the load now."""
        wait_ms = self._admission.expected_wait_s() * 1000
        inside_ms = self._engine.waiting_prefill_tokens * self._prefill_ms
        silent_ms = (time.monotonic() - self._heard_at) * 1000
        return LoadReport(
            self._admission.queued,
            self._admission.running,
            round(wait_ms + inside_ms, 1),
            round(self._engine.age_ms + silent_ms, 1),
        )

    def hear(self, engine: EngineLoad) -> None:
        """Take the worker's own figures."""
        self._engine = engine
        self._heard_at = time.monotonic()

    def observe_first_token(self, took_s: float, missed_tokens: int) -> None:
        """Learn from the time that a prompt took to its first token."""
        each_ms = took_s * 1000 / max(1, missed_tokens)
        self._prefill_ms += _GAIN * (each_ms - self._prefill_ms)
