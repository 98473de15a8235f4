"""Keep the last routing decisions, to explain them to operators."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from lacewing_common.wire import CacheReport

from lacewing_daemon.router._policy import Choice

KEPT_REQUESTS = 1024


@dataclass(frozen=True)
class Outcome:
    """Hold what came true of one choice.

    ``result`` is ``answered`` or the code of the refusal.
    """

    result: str
    verdict: str
    first_token_ms: float | None
    cache: CacheReport


@dataclass(frozen=True)
class Decision:
    """Hold one choice of a request and its outcome, None while open."""

    choice: Choice
    outcome: Outcome | None = None


@dataclass
class RequestRecord:
    """Collect the decisions of one request."""

    request_id: str
    team: str
    service: str
    decisions: list[Decision] = field(default_factory=list)

    def chose(self, choice: Choice) -> None:
        """Add a choice whose outcome is open."""
        self.decisions.append(Decision(choice))

    def came(self, outcome: Outcome) -> None:
        """Add the outcome of the last choice."""
        last = self.decisions[-1]
        self.decisions[-1] = Decision(last.choice, outcome)


class DecisionLog:
    """Keep the records of the last requests, the oldest dropped first."""

    def __init__(self, kept: int = KEPT_REQUESTS) -> None:
        self._kept = kept
        self._order: deque[RequestRecord] = deque()
        self._records: dict[str, RequestRecord] = {}

    def open(self, request_id: str, team: str, service: str) -> RequestRecord:
        """Start the record of a request."""
        record = RequestRecord(request_id, team, service)
        self._order.append(record)
        self._records[request_id] = record
        if len(self._order) > self._kept:
            self._drop_oldest()
        return record

    def find(self, request_id: str) -> RequestRecord | None:
        """Return the record of a request, None when it is no longer kept."""
        return self._records.get(request_id)

    def _drop_oldest(self) -> None:
        oldest = self._order.popleft()
        if self._records.get(oldest.request_id) is oldest:
            del self._records[oldest.request_id]
