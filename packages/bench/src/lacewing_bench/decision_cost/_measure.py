"""Time the decisions of each policy in one run."""

import random
import time
from dataclasses import dataclass

from lacewing_common.bundle import PolicyName
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.identity import Place
from lacewing_common.prefix import chain
from lacewing_common.prefix import PrefixChain
from lacewing_common.verdict import Refusal
from lacewing_common.wire import CacheReport
from lacewing_common.wire import LoadReport
from lacewing_daemon.router._knowledge import make_policy
from lacewing_daemon.router._policy import Observation
from lacewing_daemon.router._policy import Policy
from lacewing_daemon.router._policy import RoutingRequest

from lacewing_bench.decision_cost._workers import FixedWorkers
from lacewing_bench.decision_cost._workers import idle_view

POLICIES = (
    PolicyName.RANDOM,
    PolicyName.ROUND_ROBIN,
    PolicyName.LEAST_LOAD,
    PolicyName.PREFIX_HASH,
    PolicyName.EXPECTED_COST,
)
# Prompts share prefixes as in the workload of the bench: few distinct
# outermost levels, more inner ones, and a last level unique to each request.
_BOOKS = 50
_CHAPTERS = 8
_CASES = 4
_LEVEL_BYTES = (6000, 2400, 800, 200)
_WARM_UP_DECISIONS = 500
_US_PER_S = 1_000_000


@dataclass(frozen=True)
class DecisionCost:
    """Hold the CPU time of one policy's decisions, in microseconds."""

    policy: str
    workers: int
    p50_us: float
    p99_us: float
    mean_us: float


def measure(policy: PolicyName, workers: int, decisions: int) -> DecisionCost:
    """Time decisions of one policy among ``workers`` workers."""
    rng = random.Random(7)
    views = tuple(idle_view(f'agent-{index}') for index in range(workers))
    fleet = FixedWorkers(views)
    routing_policy = make_policy(policy, Place('r', 'z'), rng)
    durations_us: list[float] = []
    for number in range(_WARM_UP_DECISIONS + decisions):
        request = _request(number, _prompt(rng, number))
        started_s = time.thread_time()
        choice = routing_policy.choose(request, fleet)
        cpu_s = time.thread_time() - started_s
        if isinstance(choice, Refusal):
            raise AssertionError(f'expected a choice, got {choice.message}')
        if number >= _WARM_UP_DECISIONS:
            durations_us.append(cpu_s * _US_PER_S)
        _report_outcome(routing_policy, request, choice.process_id)
    durations_us.sort()
    return DecisionCost(
        policy.value,
        workers,
        durations_us[len(durations_us) // 2],
        durations_us[len(durations_us) * 99 // 100],
        sum(durations_us) / len(durations_us),
    )


def _prompt(rng: random.Random, number: int) -> PrefixChain:
    book = min(rng.randrange(_BOOKS), rng.randrange(_BOOKS))
    chapter = rng.randrange(_CHAPTERS)
    case = rng.randrange(_CASES)
    names = (
        f'book {book}',
        f'chapter {book} {chapter}',
        f'case {book} {chapter} {case}',
        f'question {number}',
    )
    segments: list[bytes] = []
    for name, size in zip(names, _LEVEL_BYTES, strict=True):
        segments.append(name.encode().ljust(size, b'.'))
    return chain(bytes(16), tuple(segments))


def _request(number: int, prompt: PrefixChain) -> RoutingRequest:
    return RoutingRequest(
        request_id=str(number),
        team='rahmat',
        service=Service(name='tutor', kind=ServiceKind.MODEL),
        chain=prompt,
        priority=0,
        budget_ms=1700.0,
    )


def _report_outcome(
    policy: Policy, request: RoutingRequest, process_id: str
) -> None:
    total = len(request.chain.blocks)
    hits = request.chain.levels[-2]
    cache = CacheReport('e1', hits, total, width=4)
    policy.observe(Observation(request, process_id, cache, LoadReport(), 60.0))
