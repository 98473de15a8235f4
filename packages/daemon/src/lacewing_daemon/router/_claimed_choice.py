"""Choose the worker whose agent claims an idempotency key."""

from lacewing_common.claim_key import claim_key
from lacewing_common.claim_key import range_of
from lacewing_common.claim_key import range_point
from lacewing_common.verdict import Refusal

from lacewing_daemon.rendezvous import highest_ranked
from lacewing_daemon.router._baselines import no_worker
from lacewing_daemon.router._call import Call
from lacewing_daemon.router._policy import Choice
from lacewing_daemon.router._policy import RoutingRequest
from lacewing_daemon.router._policy import Workers

_POLICY = 'claimed-range'


def needs_claim(call: Call) -> bool:
    """Tell whether the agent claims the call before it runs."""
    return bool(call.asked.idempotency_key) and not call.idempotent


def claimed_choice(
    call: Call, routing: RoutingRequest, workers: Workers
) -> Choice | Refusal:
    """Choose the same worker for a range of keys at every router.

    Were each router to choose by load, repeats of a call would meet at
    different agents, and all agents would write to all ranges: their
    updates would conflict, seen as slow calls and as "platform unavailable"
    under load. The choice is for speed only; the claim makes it safe.
    """
    if not workers.ids:
        return no_worker(routing)
    service = call.service.name
    key = claim_key(call.team.name, service, call.asked.idempotency_key)
    point = range_point(service, range_of(key))
    return Choice(highest_ranked(point, workers.ids), _POLICY)
