"""Describe how a routing policy sees the world and what it decides."""

from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Protocol

from lacewing_common.bundle import Service
from lacewing_common.identity import Place
from lacewing_common.prefix import PrefixChain
from lacewing_common.verdict import Refusal
from lacewing_common.wire import CacheReport
from lacewing_common.wire import LoadReport


@dataclass(frozen=True, slots=True)
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


@dataclass(frozen=True, slots=True)
class WorkerView:
    """Hold what a router knows of one eligible worker.

    ``load`` is the last report, ``load_at_s`` the reading of
    ``time.monotonic`` when it came, ``in_flight`` this router's own open
    attempts there and ``in_flight_blocks`` the prompt blocks that those
    without a first token are expected to compute, ``recent_blocks`` the
    part of them sent since the last report, by ``recent`` attempts.
    """

    process_id: str
    place: Place
    epoch: str
    load: LoadReport
    load_at_s: float
    in_flight: int
    in_flight_blocks: int
    recent_blocks: int = 0
    recent: int = 0


class Workers(Protocol):
    """Hold the eligible workers; never changed once built.

    A policy may keep what it derives from ``ids`` for as long as it is
    given the same tuple.
    """

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the process ids of the agents, sorted."""

    def view(self, process_id: str) -> WorkerView:
        """Return what is known of one of them now."""


@dataclass(frozen=True, slots=True)
class Estimate:
    """Hold one candidate's expected cost.

    ``wait_ms``, ``prefill_ms``, ``transfer_ms`` (import of kept KV cache
    and the way there), ``harm_ms`` (delay of others) and
    ``first_token_ms`` are milliseconds; ``hit_blocks`` is the expected
    number of reused blocks.
    """

    process_id: str
    wait_ms: float
    prefill_ms: float
    first_token_ms: float
    hit_blocks: float
    score: float
    transfer_ms: float = 0.0
    harm_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Choice:
    """Name the chosen agent, with the estimates it was chosen by.

    ``missing_blocks`` is the number of blocks that it is expected to
    compute, None when the policy expects nothing; ``width`` the number of
    workers over which the policy spreads the outermost level;
    ``use_kept`` lets the agent use the store of kept KV cache.
    """

    process_id: str
    policy: str
    estimates: tuple[Estimate, ...] = ()
    missing_blocks: int | None = None
    width: int = 1
    use_kept: bool = False


@dataclass(frozen=True, slots=True)
class Observation:
    """Report what came true of one choice, to the policy.

    ``first_token_ms`` runs from the attempt's start; None when it had none.
    """

    request: RoutingRequest
    process_id: str
    cache: CacheReport
    load: LoadReport
    first_token_ms: float | None


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Report levels that a worker's cache gained or lost.

    ``stored`` and ``evicted`` are hashes of the last blocks of levels.
    """

    process_id: str
    epoch: str
    stored: tuple[bytes, ...]
    evicted: tuple[bytes, ...]


class Policy(Protocol):
    """Choose a worker for each request."""

    def prepare(
        self, request: RoutingRequest, workers: Workers
    ) -> Awaitable[None] | None:
        """Return what to await before ``choose``, mostly nothing."""

    def choose(
        self, request: RoutingRequest, workers: Workers
    ) -> Choice | Refusal:
        """Choose among the eligible workers; a refusal is a not-run."""

    def hear(self, change: CacheChange) -> None:
        """Learn from an agent's digest of its worker's cache."""

    def observe(self, observation: Observation) -> None:
        """Learn from the end of an attempt."""

    def forget(self, process_id: str) -> None:
        """Drop what was learnt of a worker that restarted or left."""
