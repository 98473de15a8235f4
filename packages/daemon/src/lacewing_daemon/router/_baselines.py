"""Choose workers by the usual simple rules, to compare with."""

import random

from lacewing_common.bundle import PolicyName
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon.rendezvous import highest_ranked
from lacewing_daemon.router._policy import CacheChange
from lacewing_daemon.router._policy import Choice
from lacewing_daemon.router._policy import Observation
from lacewing_daemon.router._policy import RoutingRequest
from lacewing_daemon.router._policy import Workers
from lacewing_daemon.router._policy import WorkerView


def no_worker(request: RoutingRequest) -> Refusal:
    """Build the refusal of a request without an eligible worker."""
    return not_run(
        Reason.NO_WORKER,
        f'no worker of the service {request.service.name!r} is left to try',
        retry_after_s=1.0,
    )


class _Unlearning:
    """Learn nothing."""

    def prepare(self, request: RoutingRequest, workers: Workers) -> None:
        """Need nothing that has to be waited for."""

    def observe(self, observation: Observation) -> None:
        """Learn nothing from the end of an attempt."""

    def hear(self, change: CacheChange) -> None:
        """Learn nothing from a digest."""

    def forget(self, process_id: str) -> None:
        """Drop nothing of a worker that restarted or left."""


class RandomChoice(_Unlearning):
    """Choose any worker with the same chance."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, request: RoutingRequest, workers: Workers
    ) -> Choice | Refusal:
        """Choose a random worker."""
        if not workers.ids:
            return no_worker(request)
        worker = self._rng.choice(workers.ids)
        return Choice(worker, PolicyName.RANDOM.value)


class RoundRobin(_Unlearning):
    """Choose the workers in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, request: RoutingRequest, workers: Workers
    ) -> Choice | Refusal:
        """Choose the next worker by name."""
        if not workers.ids:
            return no_worker(request)
        worker = workers.ids[self._turn % len(workers.ids)]
        self._turn += 1
        return Choice(worker, PolicyName.ROUND_ROBIN.value)


class LeastLoad(_Unlearning):
    """Choose the worker with the fewest requests, reported and our own."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, request: RoutingRequest, workers: Workers
    ) -> Choice | Refusal:
        """Choose the least loaded worker, ties at random."""
        if not workers.ids:
            return no_worker(request)
        views = [workers.view(process_id) for process_id in workers.ids]
        lowest = min(_requests_at(worker) for worker in views)
        idlest = [w for w in views if _requests_at(w) == lowest]
        worker = self._rng.choice(idlest)
        return Choice(worker.process_id, PolicyName.LEAST_LOAD.value)


class PrefixHash(_Unlearning):
    """Choose by rendezvous hashing of the prompt's first level."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, request: RoutingRequest, workers: Workers
    ) -> Choice | Refusal:
        """Choose the worker of highest weight, without a prefix at random."""
        if not workers.ids:
            return no_worker(request)
        worker = self._rng.choice(workers.ids)
        levels = request.chain.levels
        if levels:
            worker = highest_ranked(
                request.chain.blocks[levels[0] - 1], workers.ids
            )
        return Choice(worker, PolicyName.PREFIX_HASH.value)


def _requests_at(worker: WorkerView) -> int:
    return worker.load.queued + worker.load.running + worker.in_flight
