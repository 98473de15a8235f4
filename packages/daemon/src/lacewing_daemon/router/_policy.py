"""Describe how a routing policy sees the world and what it decides."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from lacewing_common.bundle import Service
from lacewing_common.identity import Place
from lacewing_common.prefix import PrefixChain
from lacewing_common.verdict import Refusal
from lacewing_common.wire import CacheReport
from lacewing_common.wire import LoadReport


@dataclass(frozen=True)
class RoutingRequest:
    """Hold what a policy may know of a request.

    ``budget_ms`` is the time left until the first token is due;
    ``tried`` names the agents that already refused or failed it.
    """

    request_id: str
    team: str
    service: Service
    chain: PrefixChain
    priority: int
    budget_ms: float
    tried: tuple[str, ...] = ()


@dataclass(frozen=True)
class WorkerView:
    """Hold what a router knows of one eligible worker.

    ``load`` is the last report, ``load_at_s`` the reading of
    ``time.monotonic`` when it came, ``in_flight`` this router's own open
    attempts there and ``in_flight_blocks`` the prompt blocks of those
    without a first token.
    """

    process_id: str
    place: Place
    epoch: str
    load: LoadReport
    load_at_s: float
    in_flight: int
    in_flight_blocks: int


@dataclass(frozen=True)
class Estimate:
    """Hold one candidate's expected cost.

    ``wait_ms``, ``prefill_ms`` and ``first_token_ms`` are milliseconds;
    ``hit_blocks`` is the expected number of reused blocks.
    """

    process_id: str
    wait_ms: float
    prefill_ms: float
    first_token_ms: float
    hit_blocks: float
    score: float


@dataclass(frozen=True)
class Choice:
    """Name the chosen agent, with the estimates it was chosen by."""

    process_id: str
    policy: str
    estimates: tuple[Estimate, ...] = ()


@dataclass(frozen=True)
class Observation:
    """Report what came true of one choice, to the policy.

    ``first_token_ms`` runs from the attempt's start; None when it had none.
    """

    request: RoutingRequest
    process_id: str
    cache: CacheReport
    load: LoadReport
    first_token_ms: float | None


class Policy(Protocol):
    """Choose a worker for each request."""

    def choose(
        self, request: RoutingRequest, workers: Sequence[WorkerView]
    ) -> Choice | Refusal:
        """Choose among the eligible workers; a refusal is a not-run."""

    def observe(self, observation: Observation) -> None:
        """Learn from the end of an attempt."""

    def forget(self, process_id: str) -> None:
        """Drop what was learnt of a worker that restarted or left."""
