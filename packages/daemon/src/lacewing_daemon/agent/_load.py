"""Join the agent's own view of the load with the worker's late one."""

import time
from collections.abc import Callable

import msgspec
from lacewing_common.wire import LoadReport

from lacewing_daemon.agent._admission import Admission


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

    def __init__(
        self, admission: Admission, prefill_ms: Callable[[], float]
    ) -> None:
        self._admission = admission
        self._prefill_ms = prefill_ms
        self._engine = EngineLoad()
        self._heard_at = time.monotonic()

    def report(self) -> LoadReport:
        """Return the load now.

        All work comes through this agent, which therefore knows better
        what waits inside the engine than the engine's late figures say.
        """
        wait_ms = self._admission.expected_wait_s() * 1000
        silent_ms = (time.monotonic() - self._heard_at) * 1000
        return LoadReport(
            self._admission.queued,
            self._admission.running,
            round(wait_ms + self._prefill_ms(), 1),
            round(self._engine.age_ms + silent_ms, 1),
            self._admission.slots,
            round(self._admission.turn_s * 1000, 1),
        )

    def hear(self, engine: EngineLoad) -> None:
        """Take the worker's own figures."""
        self._engine = engine
        self._heard_at = time.monotonic()
