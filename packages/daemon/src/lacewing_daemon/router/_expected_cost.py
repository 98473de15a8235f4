"""Choose the worker with the lowest expected time to first token.

A first, simple version: the candidates are the rendezvous choices of each
prompt level, the workers seen to hold a level, and two at random.
"""

import random
import time
from collections.abc import Sequence

from lacewing_common.bundle import PolicyName
from lacewing_common.identity import Place
from lacewing_common.verdict import Refusal

from lacewing_daemon.router._baselines import no_worker
from lacewing_daemon.router._hints import Hint
from lacewing_daemon.router._hints import Hints
from lacewing_daemon.router._policy import Choice
from lacewing_daemon.router._policy import Estimate
from lacewing_daemon.router._policy import Observation
from lacewing_daemon.router._policy import RoutingRequest
from lacewing_daemon.router._policy import WorkerView
from lacewing_daemon.router._rendezvous import best
from lacewing_daemon.router._rendezvous import ranked

PREFILL_MS_PER_BLOCK = 10.0
REQUEST_MS = 20.0
HOME_CHANCE = 0.5
_SECONDS_TO_MS = 1000.0
_RANDOM_CANDIDATES = 2
_CANDIDATES_PER_LEVEL = 2
_SMALL_FLEET = 8


class ExpectedCost:
    """Weigh queue, missing prefix and recomputation."""

    def __init__(self, place: Place, rng: random.Random) -> None:
        self._place = place
        self._rng = rng
        self._hints = Hints()

    def choose(
        self, request: RoutingRequest, workers: Sequence[WorkerView]
    ) -> Choice | Refusal:
        """Choose the candidate of the lowest score."""
        if not workers:
            return no_worker(request)
        now_s = time.monotonic()
        held = self._hints.held_blocks(request.chain, now_s)
        homes = _homes(request, workers)
        estimates: list[Estimate] = []
        for worker in self._candidates(request, workers, held):
            blocks = _blocks_held(worker, held)
            blocks = max(blocks, homes.get(worker.process_id, 0.0))
            estimates.append(_estimate(request, worker, blocks, now_s))
        chosen = min(estimates, key=lambda estimate: estimate.score)
        return Choice(
            chosen.process_id,
            PolicyName.EXPECTED_COST.value,
            tuple(estimates),
        )

    def observe(self, observation: Observation) -> None:
        """Remember where the prompt's levels now are."""
        hint = Hint(
            observation.process_id,
            observation.cache.epoch,
            time.monotonic(),
        )
        self._hints.learn(observation.request.chain, hint)

    def forget(self, process_id: str) -> None:
        """Drop what was learnt of a worker that restarted or left."""
        self._hints.forget(process_id)

    def _candidates(
        self,
        request: RoutingRequest,
        workers: Sequence[WorkerView],
        held: dict[str, tuple[int, str]],
    ) -> list[WorkerView]:
        if len(workers) <= _SMALL_FLEET:
            return list(workers)
        found: dict[str, WorkerView] = {}
        for level in request.chain.levels:
            key = request.chain.blocks[level - 1]
            for worker in ranked(key, workers, _CANDIDATES_PER_LEVEL):
                found[worker.process_id] = worker
        for worker in workers:
            if worker.process_id in held:
                found[worker.process_id] = worker
        for worker in self._rng.sample(workers, _RANDOM_CANDIDATES):
            found[worker.process_id] = worker
        return list(found.values())


def _homes(
    request: RoutingRequest, workers: Sequence[WorkerView]
) -> dict[str, float]:
    """Return the blocks that each level's home is guessed to hold.

    The guess makes routers that know nothing yet agree on a worker.
    """
    homes: dict[str, float] = {}
    for level in request.chain.levels:
        home = best(request.chain.blocks[level - 1], workers)
        homes[home.process_id] = level * HOME_CHANCE
    return homes


def _blocks_held(
    worker: WorkerView, held: dict[str, tuple[int, str]]
) -> float:
    blocks, epoch = held.get(worker.process_id, (0, ''))
    if epoch and epoch != worker.epoch:
        # The engine restarted since: its cache is empty.
        return 0.0
    return blocks


def _estimate(
    request: RoutingRequest, worker: WorkerView, held: float, now_s: float
) -> Estimate:
    age_ms = (now_s - worker.load_at_s) * _SECONDS_TO_MS
    reported_ms = max(0.0, worker.load.backlog_ms - age_ms)
    own_ms = worker.in_flight_blocks * PREFILL_MS_PER_BLOCK
    wait_ms = max(reported_ms, own_ms) + worker.in_flight * REQUEST_MS
    missing = len(request.chain.blocks) - held
    prefill_ms = missing * PREFILL_MS_PER_BLOCK
    weights = request.service.weights
    score = weights.tail * (wait_ms + prefill_ms)
    score += weights.recomputation * prefill_ms
    return Estimate(
        worker.process_id,
        wait_ms,
        prefill_ms,
        wait_ms + prefill_ms,
        held,
        score,
    )
