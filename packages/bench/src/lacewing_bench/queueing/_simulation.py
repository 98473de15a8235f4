"""Play a load under one of the ways in which requests may wait."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from itertools import count
from random import Random

import msgspec
from lacewing_daemon.direct.queueing import Offer
from lacewing_daemon.direct.queueing import QueuedRequest
from lacewing_daemon.direct.queueing import Refuse
from lacewing_daemon.direct.queueing import service_tokens
from lacewing_daemon.direct.queueing import TeamShares
from lacewing_daemon.direct.queueing import Unavailable
from lacewing_daemon.direct.queueing import wait_limit_s
from lacewing_daemon.direct.queueing import WaitingRequests

from lacewing_bench.queueing._engine import CHUNK_TOKENS
from lacewing_bench.queueing._engine import Engine
from lacewing_bench.queueing._engine import KV_TOKENS
from lacewing_bench.queueing._engine import SLOTS
from lacewing_bench.queueing._engine import STEP_S
from lacewing_bench.queueing._engine import TOKENS_PER_S
from lacewing_bench.queueing._load import arrivals
from lacewing_bench.queueing._load import Job
from lacewing_bench.queueing._load import Load

TICK_S = 0.02
# Interval at which routers tell each other the service of teams.
EXCHANGE_S = 0.15
PATIENCE = 0.8


class Rule(Enum):
    """Name where requests wait and when they are refused."""

    EARLY = 'refused at 0.8 of the target'
    DEADLINE = 'refused at the deadline'
    ENGINE = "engines' own queue"
    ROUTER = 'queue at the router'


@dataclass(frozen=True)
class Outcome:
    """Hold all requests of a play."""

    jobs: tuple[Job, ...]

    def share(
        self,
        kind: str,
        test: Callable[[Job], bool],
        teams: frozenset[str] | None = None,
    ) -> float:
        """Return the share of a kind's requests that pass a test.

        Only those that arrived during the burst count.
        """
        passed = total = 0
        for job in self.jobs:
            if not job.in_burst or job.kind.name != kind:
                continue
            if teams is not None and job.team not in teams:
                continue
            total += 1
            passed += test(job)
        return passed / max(1, total)


class _Router:
    """Place requests by what one router knows of the engines."""

    def __init__(self, rule: Rule, engines: list[Engine], load: Load) -> None:
        self._rule = rule
        self._engines = engines
        self._age_s = load.age_s
        self._known_s = -1.0
        self._known: list[tuple[dict[int, float], int, int]] = []
        self._since: list[list[Job]] = []
        self.shares = TeamShares()
        self.waiting: WaitingRequests[int] = WaitingRequests(self.shares)
        self.jobs: dict[QueuedRequest, Job] = {}

    def offer(self, job: Job, now_s: float) -> Offer[int] | Unavailable:
        """Return the engine with the earliest expected first event."""
        self._refresh(now_s)
        best: Offer[int] | None = None
        best_s = float('inf')
        handicap_s = job.kind.shared_tokens / 2 / TOKENS_PER_S
        urgency = job.kind.urgency
        for number, (known, in_flight, kv_tokens) in enumerate(self._known):
            tokens = dict(known)
            for sent in self._since[number]:
                at = sent.kind.urgency
                tokens[at] = tokens.get(at, 0.0) + sent.kind.prompt_tokens
                in_flight += 1
                kv_tokens += sent.kv_tokens
            if in_flight >= SLOTS:
                continue
            if kv_tokens + job.kv_tokens > KV_TOKENS:
                continue
            drained = (now_s - self._known_s) * TOKENS_PER_S
            before = after = 0.0
            for at, each in tokens.items():
                if at <= urgency:
                    before += each
                else:
                    after += each
            queued = max(0.0, before + after - drained)
            before = max(0.0, before - drained)
            wait_s = (before + min(after, CHUNK_TOKENS / 2)) / TOKENS_PER_S
            first_s = wait_s + job.kind.prompt_tokens / TOKENS_PER_S + STEP_S
            cost_s = first_s
            if number != job.preferred:
                cost_s += handicap_s
            if cost_s < best_s:
                best_s = cost_s
                best = Offer(
                    number,
                    first_s,
                    wait_s,
                    queued / TOKENS_PER_S,
                    CHUNK_TOKENS / TOKENS_PER_S,
                    service_tokens(
                        job.kind.prompt_tokens, job.kind.output_tokens
                    ),
                    in_flight / SLOTS,
                )
        if best is None:
            return Unavailable(STEP_S)
        return best

    def arrive(self, job: Job, now_s: float) -> None:
        """Place, queue or refuse a request that has arrived."""
        kind = job.kind
        if self._rule is not Rule.ROUTER:
            self._place_or_refuse(job, now_s)
            return
        run_s = kind.output_tokens * STEP_S
        request = QueuedRequest(
            kind.urgency,
            job.team,
            service_tokens(kind.prompt_tokens, kind.output_tokens),
            job.arrived_s,
            job.arrived_s + kind.target_s * PATIENCE,
            job.arrived_s + kind.deadline_s - run_s,
            wait_limit_s(
                kind.target_s, self.shares.exceeds_share(job.team, now_s)
            ),
        )
        self.shares.mark_active(job.team, now_s)
        self.jobs[request] = job
        refused = self.waiting.add(request, now_s)
        if refused is not None:
            self._refuse(*refused, now_s)
        self.evaluate(now_s)

    def evaluate(self, now_s: float) -> None:
        """Place all requests that can be placed now."""
        while len(self.waiting):
            result = self.waiting.evaluate(
                now_s, lambda request: self.offer(self.jobs[request], now_s)
            )
            for request, refusal in result.refused:
                self._refuse(request, refusal, now_s)
            if result.placed is None or result.offer is None:
                return
            job = self.jobs.pop(result.placed)
            self.shares.record(job.team, result.offer.tokens, now_s)
            self._send(job, result.offer.target, now_s)

    def _refuse(
        self, request: QueuedRequest, refusal: Refuse, now_s: float
    ) -> None:
        job = self.jobs.pop(request)
        job.refused_s = now_s
        job.retry_s = refusal.retry_s

    def _place_or_refuse(self, job: Job, now_s: float) -> None:
        offer = self.offer(job, now_s)
        limit_s = float('inf')
        if self._rule is Rule.EARLY:
            limit_s = job.kind.target_s * PATIENCE
        if self._rule is Rule.DEADLINE:
            limit_s = job.kind.deadline_s
        if isinstance(offer, Offer) and offer.first_event_s <= limit_s:
            self._send(job, offer.target, now_s)
            return
        if self._rule is Rule.EARLY or isinstance(offer, Offer):
            job.refused_s = now_s
            return
        # No engine has room; without a queue at the router it goes to the
        # one with the fewest requests, whose own queue orders it.
        numbers = range(len(self._engines))
        fewest = min(numbers, key=lambda each: self._engines[each].in_flight)
        self._send(job, fewest, now_s)

    def _refresh(self, now_s: float) -> None:
        if self._known and now_s - self._known_s < self._age_s:
            return
        self._known_s = now_s
        self._known = []
        self._since = [[] for _ in self._engines]
        for engine in self._engines:
            self._known.append(
                (engine.waiting_tokens(), engine.in_flight, engine.kv_tokens)
            )

    def _send(self, job: Job, number: int, now_s: float) -> None:
        job.sent_s = now_s
        self._engines[number].add(job)
        if self._age_s:
            self._since[number].append(job)


def play(load: Load, rule: Rule, seed: int) -> Outcome:
    """Play a load once."""
    random = Random(seed)
    engines = [Engine() for _ in range(load.engines)]
    routers = [_Router(rule, engines, load) for _ in range(load.routers)]
    jobs = sorted(arrivals(load, random), key=lambda job: job.arrived_s)
    end_s = jobs[-1].arrived_s + max(kind.deadline_s for kind in load.kinds)
    numbers = count()
    events: list[tuple[float, int, Callable[[float], None]]] = []

    def at(time_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(events, (time_s, next(numbers), action))

    def step(engine: Engine, now_s: float) -> None:
        took_s = engine.step(now_s)
        engine.is_stepping = took_s > 0
        if took_s:
            at(now_s + took_s, partial(step, engine))

    def wake(now_s: float) -> None:
        for engine in engines:
            if not engine.is_stepping:
                step(engine, now_s)

    def arrive(job: Job, now_s: float) -> None:
        routers[job.router].arrive(job, now_s)
        wake(now_s)

    def tick(router: _Router, now_s: float) -> None:
        router.evaluate(now_s)
        wake(now_s)
        if now_s < end_s:
            at(now_s + TICK_S, partial(tick, router))

    def exchange(now_s: float) -> None:
        for number, sender in enumerate(routers):
            data = sender.shares.collect(now_s, False)
            if data is None:
                continue
            encoded = msgspec.msgpack.encode(data)
            for receiver in routers:
                if receiver is not sender:
                    receiver.shares.apply(str(number), encoded, now_s)
        if now_s < end_s:
            at(now_s + EXCHANGE_S, exchange)

    for job in jobs:
        at(job.arrived_s, partial(arrive, job))
    for router in routers:
        at(random.random() * TICK_S, partial(tick, router))
    at(EXCHANGE_S, exchange)
    while events:
        now_s, _, action = heapq.heappop(events)
        action(now_s)
    return Outcome(tuple(jobs))
