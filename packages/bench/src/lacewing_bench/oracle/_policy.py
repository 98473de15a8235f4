"""Choose by what the stand-ins truly hold and do at this moment."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

import msgspec
from lacewing_common.bundle import PolicyName
from lacewing_common.curl import CurlClient
from lacewing_common.identity import Place
from lacewing_common.online_estimates import PrefillCost
from lacewing_common.verdict import Refusal
from lacewing_daemon.router._baselines import no_worker
from lacewing_daemon.router._policy import CacheChange
from lacewing_daemon.router._policy import Choice
from lacewing_daemon.router._policy import Observation
from lacewing_daemon.router._policy import RoutingRequest
from lacewing_daemon.router._policy import Workers
from lacewing_daemon.router._score import Expected
from lacewing_daemon.router._score import RUNNING_SHARE
from lacewing_daemon.router._score import Scorer
from tornado.httpclient import HTTPClientError
from tornado.httpclient import HTTPRequest

BLOCK_TOKENS = 64
_TIMEOUT_S = 2.0
_CALLS_AT_ONCE = 256
_MOST_OPEN = 4096


class Truth(msgspec.Struct, frozen=True):
    """Hold an engine's true state, as ``/truth`` answers it."""

    epoch: str = ''
    hit_blocks: int = 0
    running: int = 0
    waiting: int = 0
    waiting_prefill_tokens: int = 0


class Oracle:
    """Score all workers by the truth, with our policy's own cost.

    ``engines`` maps each agent's process id to its engine's base URL.
    """

    def __init__(
        self, place: Place, rng: random.Random, engines: Mapping[str, str]
    ) -> None:
        self._engines = engines
        self._client = CurlClient(
            force_instance=True, max_clients=_CALLS_AT_ONCE
        )
        self._prefill = PrefillCost()
        self._scorer = Scorer(place, rng, self._prefill)
        self._truths: dict[str, dict[str, Truth]] = {}
        self._waits: dict[str, float] = {}

    async def prepare(self, request: RoutingRequest, workers: Workers) -> None:
        """Ask all engines what they hold of the prompt."""
        names = [block.hex() for block in request.chain.blocks]
        body = msgspec.json.encode({'blocks': names})
        asked = [self._ask(process_id, body) for process_id in workers.ids]
        truths = await asyncio.gather(*asked)
        self._truths[request.request_id] = dict(
            zip(workers.ids, truths, strict=True)
        )
        _bound(self._truths)

    def choose(
        self, request: RoutingRequest, workers: Workers
    ) -> Choice | Refusal:
        """Choose the worker of the lowest true cost."""
        if not workers.ids:
            return no_worker(request)
        truths = self._truths.pop(request.request_id, {})
        expected: list[Expected] = []
        for process_id in workers.ids:
            truth = truths.get(process_id, Truth())
            view = workers.view(process_id)
            load = msgspec.structs.replace(view.load, running=truth.running)
            blocks = truth.waiting_prefill_tokens / BLOCK_TOKENS
            wait_ms = blocks * self._prefill.ms_per_block
            running_ms = RUNNING_SHARE * self._prefill.base_ms * truth.running
            hit_blocks = float(truth.hit_blocks)
            seen = replace(view, load=load)
            expected.append(Expected(seen, wait_ms + running_ms, hit_blocks))
        estimates = self._scorer.estimates(request, expected)
        chosen = self._scorer.pick(estimates, {})
        self._waits[request.request_id] = chosen.wait_ms
        _bound(self._waits)
        missing = len(request.chain.blocks) - round(chosen.hit_blocks)
        return Choice(
            chosen.process_id,
            PolicyName.ORACLE.value,
            estimates,
            missing,
            use_kept=True,
        )

    def observe(self, observation: Observation) -> None:
        """Learn the price of a block; the rest is known."""
        cache = observation.cache
        wait_ms = self._waits.pop(observation.request.request_id, None)
        if wait_ms is None or observation.first_token_ms is None:
            return
        missed = cache.prompt_blocks - cache.hit_blocks
        self._prefill.update(
            missed, max(0.0, observation.first_token_ms - wait_ms)
        )

    def hear(self, change: CacheChange) -> None:
        """Need no digest."""

    def forget(self, process_id: str) -> None:
        """Drop nothing: each choice asks anew."""

    async def _ask(self, process_id: str, body: bytes) -> Truth:
        url = f'{self._engines[process_id]}/truth'
        request = HTTPRequest(
            url, method='POST', body=body, request_timeout=_TIMEOUT_S
        )
        try:
            response = await self._client.fetch(request)
        except (HTTPClientError, OSError):
            return Truth()
        return msgspec.json.decode(response.body, type=Truth)


def _bound(kept: dict[str, Any]) -> None:
    while len(kept) > _MOST_OPEN:
        del kept[next(iter(kept))]
