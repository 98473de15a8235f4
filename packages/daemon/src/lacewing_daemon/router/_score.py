"""Score candidates by what a request would cost there, and pick one."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from lacewing_common.identity import Place
from lacewing_common.online_estimates import PrefillCost

from lacewing_daemon.router._policy import Estimate
from lacewing_daemon.router._policy import RoutingRequest
from lacewing_daemon.router._policy import WorkerView

# Round trips beyond the own zone, in milliseconds.
OTHER_ZONE_MS = 1.5
OTHER_REGION_MS = 40.0
# What each request that runs adds to the time of a step, as a share of the
# time to first token without any prefill.
RUNNING_SHARE = 0.02
# Routers with the same report would all pick the same idlest worker; among
# candidates that differ by less than this they choose at random.
NEAR_MS = 2.0
NEAR_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class Expected:
    """Hold what is expected of one candidate before its score."""

    view: WorkerView
    wait_ms: float
    hit_blocks: float


class Scorer:
    """Turn expectations into estimates by a service's weights."""

    def __init__(
        self, place: Place, rng: random.Random, prefill: PrefillCost
    ) -> None:
        self._place = place
        self._rng = rng
        self._prefill = prefill

    def estimates(
        self, request: RoutingRequest, expected: list[Expected]
    ) -> tuple[Estimate, ...]:
        """Return an estimate for each candidate."""
        most_held = max(each.hit_blocks for each in expected)
        estimates: list[Estimate] = []
        for each in expected:
            estimates.append(self._estimate(request, each, most_held))
        return tuple(estimates)

    def pick(
        self, estimates: tuple[Estimate, ...], ranks: Mapping[str, int]
    ) -> Estimate:
        """Return the lowest score, or one near it of the lowest rank.

        Among equal ranks chance decides. Without ranks a prefix that
        nobody holds yet would land on another worker at each router, and
        each of them would compute it.
        """
        lowest = min(estimate.score for estimate in estimates)
        limit = lowest + NEAR_MS + lowest * NEAR_SHARE
        near = [each for each in estimates if each.score <= limit]
        if len(near) == 1:
            return near[0]
        unranked = len(ranks)
        lowest_rank = min(ranks.get(e.process_id, unranked) for e in near)
        equal: list[Estimate] = []
        for each in near:
            if ranks.get(each.process_id, unranked) == lowest_rank:
                equal.append(each)
        return self._rng.choice(equal)

    def _estimate(
        self, request: RoutingRequest, each: Expected, most_held: float
    ) -> Estimate:
        view = each.view
        weights = request.service.weights
        block_ms = self._prefill.ms_per_block
        missing = len(request.chain.blocks) - each.hit_blocks
        prefill_ms = missing * block_ms
        again_ms = (most_held - each.hit_blocks) * block_ms
        running = max(view.load.running, view.in_flight)
        harm_ms = prefill_ms * running * RUNNING_SHARE
        way_ms = self._way_ms(view.place)
        first_ms = self._prefill.base_ms + each.wait_ms + prefill_ms + way_ms
        score = weights.tail * first_ms + harm_ms
        score += weights.recomputation * again_ms
        return Estimate(
            process_id=view.process_id,
            wait_ms=each.wait_ms,
            prefill_ms=prefill_ms,
            first_token_ms=first_ms,
            hit_blocks=each.hit_blocks,
            score=score,
            transfer_ms=way_ms,
            harm_ms=harm_ms,
        )

    def _way_ms(self, place: Place) -> float:
        if place == self._place:
            return 0.0
        if place.region == self._place.region:
            return OTHER_ZONE_MS
        return OTHER_REGION_MS
