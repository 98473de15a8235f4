"""Hold one request of a workload, as a line of a trace file does."""

from typing import Any

import msgspec

from lacewing_bench.answers import CHAT_PATH
from lacewing_bench.answers import COMPLETION_PATH

PLAIN_PREFIX = '/services/'


class TimedRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold a request and when it is due, in seconds from the start.

    ``body`` None sends a GET. ``path`` is the router's.
    """

    at_s: float
    team: str
    service: str
    path: str
    body: Any = None
    idempotency_key: str | None = None

    @property
    def is_model(self) -> bool:
        """Tell whether a model answers."""
        return self.path in (CHAT_PATH, COMPLETION_PATH)

    @property
    def is_streamed(self) -> bool:
        """Tell whether the answer is asked for as a stream."""
        return isinstance(self.body, dict) and bool(self.body.get('stream'))
