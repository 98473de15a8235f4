"""Describe requests to the queue, and the upstreams that they may use."""

from collections.abc import Callable
from math import inf

from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._target import LEAST_URGENCY
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._target import urgency_of
from lacewing_daemon.direct._upstream_state import CHUNK_TOKENS
from lacewing_daemon.direct.queueing._request import Offer
from lacewing_daemon.direct.queueing._request import QueuedRequest
from lacewing_daemon.direct.queueing._request import service_tokens
from lacewing_daemon.direct.queueing._request import Unavailable
from lacewing_daemon.direct.queueing._verdict import wait_limit_s

_MS = 1000.0

PlaceWithin = Callable[[float, float], Target | NoCapacity]


def describe_request(
    request: CallerRequest,
    admitted: Admitted,
    policy: LoadPolicy,
    end_s: float,
    exceeds_share: bool,
) -> QueuedRequest:
    """Describe a request that is to be answered by ``end_s``.

    The policy's ``patience`` leaves a margin for errors of the expected first
    event, as for requests that don't wait: without it, those at the front of
    the queue are late as often as not. The length of an answer is uncertain
    and often only its maximum is known, so a request that is still on time is
    never held to miss its deadline.
    """
    target_s = admitted.route.latency_target_s
    prompt = request.prompt
    tokens, run_s = 1.0, 0.0
    if prompt is not None:
        tokens = service_tokens(prompt.tokens, prompt.expected_tokens)
        run_s = prompt.expected_tokens * policy.step_ms / _MS
    on_time_s = min(end_s, request.received_s + target_s)
    return QueuedRequest(
        urgency_of(admitted),
        admitted.team_name,
        tokens,
        request.received_s,
        request.received_s + target_s * policy.patience,
        max(end_s - run_s, on_time_s),
        wait_limit_s(target_s, exceeds_share),
    )


class TargetOffers:
    """Find the best upstream for one waiting request.

    ``place`` chooses an upstream whose first event is expected within a time
    in ms, at a given moment.
    """

    def __init__(
        self, request: QueuedRequest, output_tokens: int, place: PlaceWithin
    ) -> None:
        self._request = request
        self._output_tokens = output_tokens
        self._place = place

    def offer(self, now_s: float) -> Offer[Target] | Unavailable:
        """Return the best upstream, one that answers on time if possible."""
        left_ms = (self._request.target_s - now_s) * _MS
        placed: Target | NoCapacity = NoCapacity(0.0)
        if left_ms > 0:
            placed = self._place(left_ms, now_s)
        if isinstance(placed, NoCapacity):
            placed = self._place(inf, now_s)
        if isinstance(placed, NoCapacity):
            return Unavailable(placed.retry_after_ms / _MS)
        return self._describe(placed, now_s)

    def _describe(self, target: Target, now_s: float) -> Offer[Target]:
        state, speed = target.state, target.tokens_per_ms
        wait_ms = target.wait_ms - target.lateness_ms
        queued_ms, chunk_ms = wait_ms, 0.0
        if speed > 0:
            chunk_ms = CHUNK_TOKENS / speed
            queued_ms += state.queued_prefill_ms(LEAST_URGENCY, speed)
            queued_ms -= state.queued_prefill_ms(target.urgency, speed)
        load, slots = 0.0, state.upstream.slots
        if slots > 0:
            load = (state.in_flight + state.other_requests(now_s)) / slots
        return Offer(
            target,
            target.first_event_ms / _MS,
            wait_ms / _MS,
            queued_ms / _MS,
            chunk_ms / _MS,
            service_tokens(target.prefill_ms * speed, self._output_tokens),
            load,
        )
