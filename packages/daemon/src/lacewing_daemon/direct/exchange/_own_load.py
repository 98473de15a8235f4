"""Count what other routers are told of this router's load at one engine."""

from collections.abc import Mapping


class OwnLoad:
    """Count tokens by urgency, and remember failures; times are monotonic."""

    def __init__(self) -> None:
        self._waiting: dict[int, float] = {}
        self._waiting_count = 0
        self._sent: dict[int, float] = {}
        self._kv_tokens = 0
        self._refused_s: float | None = None
        self._silent_s: float | None = None

    @property
    def waiting_tokens(self) -> Mapping[int, float]:
        """Return the tokens of requests without a first event."""
        return self._waiting

    @property
    def waiting(self) -> int:
        """Return the number of requests without a first event."""
        return self._waiting_count

    @property
    def has_sent(self) -> bool:
        """Return whether requests were sent since ``take_sent``."""
        return bool(self._sent)

    @property
    def kv_tokens(self) -> int:
        """Return the tokens that open requests add to the KV memory."""
        return self._kv_tokens

    @property
    def refused_s(self) -> float | None:
        """Return when a connection last failed, None if never."""
        return self._refused_s

    @property
    def silent_s(self) -> float | None:
        """Return when a silence was last detected, None if never."""
        return self._silent_s

    @property
    def is_idle(self) -> bool:
        """Return whether there is no load, and was never a failure."""
        return (
            not self._waiting_count
            and not self._sent
            and not self._kv_tokens
            and self._refused_s is None
            and self._silent_s is None
        )

    def take_sent(self) -> dict[int, float]:
        """Return the prefill tokens sent since the last call, and reset."""
        sent = self._sent
        self._sent = {}
        return sent

    def opened(
        self, urgency: int, prefill_tokens: float, kv_tokens: int
    ) -> None:
        """Count a request that is sent."""
        before = self._waiting.get(urgency, 0.0)
        self._waiting[urgency] = before + prefill_tokens
        self._sent[urgency] = self._sent.get(urgency, 0.0) + prefill_tokens
        self._waiting_count += 1
        self._kv_tokens += kv_tokens

    def started(self, urgency: int, prefill_tokens: float) -> None:
        """Record that a request got its first event or ended without."""
        self._waiting_count -= 1
        left = self._waiting.get(urgency, 0.0) - prefill_tokens
        if left > 0 and self._waiting_count:
            self._waiting[urgency] = left
        else:
            self._waiting.pop(urgency, None)

    def closed(self, kv_tokens: int) -> None:
        """Stop counting a request."""
        self._kv_tokens -= kv_tokens

    def connection_failed(self, now_s: float) -> None:
        """Record that a connection was refused or not accepted."""
        self._refused_s = now_s

    def fell_silent(self, now_s: float) -> None:
        """Record that the engine sends nothing although requests wait."""
        self._silent_s = now_s
