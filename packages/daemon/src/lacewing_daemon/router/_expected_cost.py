"""Choose the worker with the lowest expected cost.

The cost of a candidate is its expected time to first token, weighed by the
service's tail weight, plus the time spent on computing what another worker
holds already, weighed by the service's recomputation weight, plus the delay
that the computation brings to the requests that run there.
"""

import math
import random
import time
from dataclasses import dataclass

from lacewing_common.bundle import PolicyName
from lacewing_common.identity import Place
from lacewing_common.online_estimates import PrefillCost
from lacewing_common.online_estimates import RateEstimate
from lacewing_common.verdict import Refusal

from lacewing_daemon.router._baselines import no_worker
from lacewing_daemon.router._candidates import Candidates
from lacewing_daemon.router._candidates import Finder
from lacewing_daemon.router._hints import Held
from lacewing_daemon.router._hints import Hint
from lacewing_daemon.router._hints import Hints
from lacewing_daemon.router._policy import CacheChange
from lacewing_daemon.router._policy import Choice
from lacewing_daemon.router._policy import Estimate
from lacewing_daemon.router._policy import Observation
from lacewing_daemon.router._policy import RoutingRequest
from lacewing_daemon.router._policy import Workers
from lacewing_daemon.router._policy import WorkerView
from lacewing_daemon.router._score import Expected
from lacewing_daemon.router._score import RUNNING_SHARE
from lacewing_daemon.router._score import Scorer
from lacewing_daemon.router._widths import Widths

_MS_PER_S = 1000.0
_NO_BLOCKS = Held(0.0, '', 0.0, 0)

# A load report is half as much believed after so long.
REPORT_HALF_LIFE_S = 1.0
# Requests that were refused or lost are never observed.
_MOST_OPEN = 4096


@dataclass(frozen=True)
class _Open:
    """Hold what a choice expected of the worker it fell on."""

    held: Held
    wait_ms: float
    home_blocks: int


class ExpectedCost:
    """Weigh queue, missing prefix, recomputation and harm to others."""

    def __init__(self, place: Place, rng: random.Random) -> None:
        self._finder = Finder(rng)
        self._hints = Hints()
        self._widths = Widths()
        self._prefill = PrefillCost()
        self._scorer = Scorer(place, rng, self._prefill)
        self._home = RateEstimate()
        self._open: dict[str, _Open] = {}

    def prepare(self, request: RoutingRequest, workers: Workers) -> None:
        """Need nothing that has to be waited for."""

    def choose(
        self, request: RoutingRequest, workers: Workers
    ) -> Choice | Refusal:
        """Choose the candidate of the lowest score."""
        if not workers.ids:
            return no_worker(request)
        now_s = time.monotonic()
        chain = request.chain
        held = self._hints.held(chain, now_s)
        width = self._width(request, now_s)
        candidates = self._finder.find(chain, workers, held, width)
        expected: list[Expected] = []
        for process_id in candidates.process_ids:
            view = workers.view(process_id)
            known = _of_this_epoch(held.get(process_id), view)
            blocks = self._hit_blocks(known, candidates, process_id)
            wait_ms = self._wait_ms(view, now_s)
            expected.append(Expected(view, wait_ms, blocks))
        estimates = self._scorer.estimates(request, expected)
        chosen = self._scorer.pick(estimates, candidates.ranks)
        self._remember(request, chosen, held, candidates, workers, now_s)
        missing = len(chain.blocks) - chosen.hit_blocks
        return Choice(
            chosen.process_id,
            PolicyName.EXPECTED_COST.value,
            estimates,
            round(missing),
            width,
            use_kept=True,
        )

    def observe(self, observation: Observation) -> None:
        """Learn what the worker truly reused and how long it took."""
        request = observation.request
        cache = observation.cache
        opened = self._open.pop(request.request_id, None)
        if not cache.prompt_blocks:
            return
        now_s = time.monotonic()
        chain = request.chain
        if chain.levels:
            key = chain.blocks[chain.levels[0] - 1]
            self._widths.learn(key, cache.width, now_s)
        hint = Hint(cache.epoch, now_s)
        self._hints.learn(
            chain, observation.process_id, hint, len(chain.blocks)
        )
        if opened is not None:
            self._judge(opened, observation)

    def hear(self, change: CacheChange) -> None:
        """Learn from an agent's digest of its worker's cache."""
        self._hints.change(change, time.monotonic())

    def forget(self, process_id: str) -> None:
        """Drop what was learnt of a worker that restarted or left."""
        self._hints.forget(process_id)

    def _judge(self, opened: _Open, observation: Observation) -> None:
        cache = observation.cache
        known = opened.held
        if known.level and known.epoch == cache.epoch:
            self._hints.judge(known, cache.hit_blocks)
        elif opened.home_blocks:
            share = min(1.0, cache.hit_blocks / opened.home_blocks)
            self._home.update(share)
        if observation.first_token_ms is None:
            return
        missed = cache.prompt_blocks - cache.hit_blocks
        took_ms = observation.first_token_ms - opened.wait_ms
        self._prefill.update(missed, max(0.0, took_ms))

    def _width(self, request: RoutingRequest, now_s: float) -> int:
        chain = request.chain
        if not chain.levels:
            return 1
        return self._widths.of(chain.blocks[chain.levels[0] - 1], now_s)

    def _hit_blocks(
        self, known: Held, candidates: Candidates, process_id: str
    ) -> float:
        guessed = candidates.homes.get(process_id, 0) * self._home.value
        return max(known.blocks, guessed)

    def _wait_ms(self, view: WorkerView, now_s: float) -> float:
        """Return the time before the worker gets to a new request.

        The report is late and loses worth with its age; what this router
        sent since is counted exactly, so that it doesn't send one burst
        after the other to the worker that once reported to be idle.
        """
        age_s = max(0.0, now_s - view.load_at_s)
        belief = math.exp2(-age_s / REPORT_HALF_LIFE_S)
        each_ms = self._prefill.ms_per_block
        reported_ms = view.load.backlog_ms * belief
        reported_ms += view.recent_blocks * each_ms
        own_ms = view.in_flight_blocks * each_ms
        running = view.load.running * belief
        running = max(float(view.in_flight), running)
        step_ms = running * RUNNING_SHARE * self._prefill.base_ms
        return max(reported_ms, own_ms) + step_ms + _slots_ms(view)

    def _remember(
        self,
        request: RoutingRequest,
        chosen: Estimate,
        held: dict[str, Held],
        candidates: Candidates,
        workers: Workers,
        now_s: float,
    ) -> None:
        """Note what is expected, and that the prefix will be there."""
        process_id = chosen.process_id
        view = workers.view(process_id)
        known = _of_this_epoch(held.get(process_id), view)
        home_blocks = candidates.homes.get(process_id, 0)
        opened = _Open(known, chosen.wait_ms, home_blocks)
        self._open[request.request_id] = opened
        if len(self._open) > _MOST_OPEN:
            del self._open[next(iter(self._open))]
        chain = request.chain
        hint = Hint(view.epoch, now_s)
        self._hints.learn(chain, process_id, hint, len(chain.blocks))


def _slots_ms(view: WorkerView) -> float:
    """Return the wait for a slot that the report does not show yet.

    Requests of one prefix compute next to nothing, so that their blocks show
    no load. Without the slots 40 of them at once went to one of two workers
    with 32, and 8 were refused while the other worker was idle.
    """
    load = view.load
    if load.slots == 0:
        return 0.0
    told = load.queued + 1 if load.running >= load.slots else 0
    present = max(load.running + load.queued + view.recent, view.in_flight)
    waiting = present + 1 - load.slots
    return max(0, waiting - told) * load.turn_ms


def _of_this_epoch(known: Held | None, view: WorkerView) -> Held:
    if known is None or known.epoch != view.epoch:
        # The engine restarted since: its cache is empty.
        return _NO_BLOCKS
    return known
