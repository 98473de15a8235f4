"""Describe requests that wait at the router, and what engines offer them."""

from dataclasses import dataclass
from typing import Generic
from typing import Protocol
from typing import TypeVar

T = TypeVar('T')

# As published for virtual token counters: a generated token takes a step of
# its own, while the tokens of a prompt are processed together.
OUTPUT_TOKEN_WEIGHT = 10.0


def service_tokens(prompt_tokens: float, output_tokens: float) -> float:
    """Return the service of a request, in prompt tokens."""
    return prompt_tokens + OUTPUT_TOKEN_WEIGHT * output_tokens


@dataclass(frozen=True, eq=False)
class QueuedRequest:
    """Hold what decides when a request leaves the queue.

    ``urgency``: 0 for the most urgent. ``tokens``: its expected service.
    Times are monotonic seconds. ``target_s``: latest time of a first event
    that is on time. ``deadline_s``: latest time of a first event after which
    the answer can still be complete for its caller. ``wait_limit_s``: longest
    wait at an engine, relative, for a request that is on time.
    """

    urgency: int
    team: str
    tokens: float
    received_s: float
    target_s: float
    deadline_s: float
    wait_limit_s: float = 0.0

    def is_late(self, first_event_s: float) -> bool:
        """Return whether a first event at that time is late."""
        return first_event_s > self.target_s


@dataclass(frozen=True)
class Offer(Generic[T]):
    """Describe the best engine for a request at this moment.

    ``first_event_s``: time to the expected first event. ``wait_s``: prefill
    that precedes the request there; ``queued_s``: all prefill that waits
    there, whatever its urgency; ``chunk_s``: duration of a prefill chunk.
    ``tokens``: expected service there, without cached prompt tokens.
    ``load``: share of its slots in use, 0 if that is unknown.
    """

    target: T
    first_event_s: float
    wait_s: float
    queued_s: float
    chunk_s: float
    tokens: float
    load: float = 0.0


@dataclass(frozen=True)
class Unavailable:
    """Say that no engine can be used now.

    ``retry_s``: expected time until one can be.
    """

    retry_s: float


class OfferSource(Protocol[T]):
    """Find the best engine for one request."""

    def offer(self, now_s: float) -> Offer[T] | Unavailable:
        """Return the best engine at this moment."""
