"""Check the order, verdicts and shares of requests that wait at a router."""

import math
from dataclasses import replace

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.queueing import BURST
from lacewing_bench.queueing import FLOOD
from lacewing_bench.queueing import Outcome
from lacewing_bench.queueing import play
from lacewing_bench.queueing import Rule
from lacewing_bench.queueing import STARVING
from lacewing_daemon.direct.queueing import Offer
from lacewing_daemon.direct.queueing import order
from lacewing_daemon.direct.queueing import QueuedRequest
from lacewing_daemon.direct.queueing import TeamShares
from lacewing_daemon.direct.queueing import WaitingRequests

LOADS = {'burst': BURST, 'flood': FLOOD, 'starving': STARVING}
SEEDS = (1, 2, 3)
CHUNK_S = 0.08
TOKENS = 1000.0
TICK_S = 0.02
_played: dict[str, dict[Rule, list[Outcome]]] = {}


def _shares(context: Context) -> TeamShares:
    if not hasattr(context, 'shares'):
        context.shares = TeamShares()
    shares: TeamShares = context.shares
    return shares


def _request(urgency: int, team: str = 'north') -> QueuedRequest:
    return QueuedRequest(urgency, team, TOKENS, 0.0, 1.0, 5.0, 0.5)


@given(
    'a request of urgency {urgency:d} from "{team}" that is on time until'
    ' {target:d} s'
)
def step_request(
    context: Context, urgency: int, team: str, target: int
) -> None:
    """Describe a request."""
    if not hasattr(context, 'requests'):
        context.requests = []
    request = replace(_request(urgency, team), target_s=float(target))
    context.requests.append(request)


@given('team "{team}" has received {tokens:d} tokens')
def step_received(context: Context, team: str, tokens: int) -> None:
    """Count service for a team."""
    _shares(context).record(team, tokens, 0.0)


@then('at {now:d} s the {which} goes first')
def step_order(context: Context, now: int, which: str) -> None:
    """Check which of the two goes first."""
    ordered = order(context.requests, _shares(context), now)
    assert ordered[0] is context.requests[which == 'second'], ordered


@then('the second goes first once its tokens are reserved')
def step_reserved(context: Context) -> None:
    """Check the order with too little and with enough reserved."""
    first, second = context.requests
    for tokens, expected in ((TOKENS - 1, first), (TOKENS, second)):
        ordered = order((first, second), _shares(context), 0.0, tokens)
        assert ordered[0] is expected, (tokens, ordered)


@given(
    'a queue with room for {room:d} requests that holds {held:d} of urgency 2'
)
def step_queue(context: Context, room: int, held: int) -> None:
    """Fill a queue."""
    context.queue = WaitingRequests(TeamShares(), room)
    for _ in range(held):
        assert context.queue.add(_request(2), 0.0) is None


@when('a request of urgency 0 joins it')
def step_joins(context: Context) -> None:
    """Add a request to the full queue."""
    context.yielded = context.queue.add(_request(0), 0.0)


@then('a request of urgency 2 is refused and {count:d} wait')
def step_yields(context: Context, count: int) -> None:
    """Check who was refused."""
    assert context.yielded[0].urgency == 2, context.yielded
    assert len(context.queue) == count


@given('a queue whose requests leave at {rate:d} tokens a second')
def step_rate(context: Context, rate: int) -> None:
    """Let requests leave at a rate for two seconds."""
    queue: WaitingRequests[str] = WaitingRequests(TeamShares())
    now_s, left = 0.0, 0.0
    while now_s < 2.0:
        while len(queue) < 2:
            queue.add(replace(_request(2), deadline_s=99.0), now_s)
        engine_s = 0.0 if left < rate * now_s else 1.0
        placed = queue.evaluate(now_s, lambda _request: _offer(engine_s))
        if placed.placed is not None:
            left += TOKENS
        now_s += TICK_S
    for request in queue.requests:
        queue.remove(request)
    context.queue, context.now_s = queue, now_s


@given('{count:d} requests of 1000 tokens wait there')
def step_ahead(context: Context, count: int) -> None:
    """Add requests of the same urgency and team."""
    for _ in range(count):
        ahead = replace(_request(2), target_s=0.0, deadline_s=99.0)
        context.queue.add(ahead, context.now_s)


@when('a request with {left:d} s left joins it and engines offer {offer:d} s')
def step_joins_late(context: Context, left: int, offer: int) -> None:
    """Add a request and evaluate the queue once."""
    context.late = replace(
        _request(2), target_s=0.0, deadline_s=context.now_s + left
    )
    context.queue.add(context.late, context.now_s)
    context.result = context.queue.evaluate(
        context.now_s, lambda _request: _offer(float(offer))
    )


@then('it waits')
def step_waits(context: Context) -> None:
    """Check that the request waits."""
    assert context.late in context.queue.requests
    assert not context.result.refused


@then('it is refused as "{cause}" within {seconds:d} s')
def step_refused(context: Context, cause: str, seconds: int) -> None:
    """Check the cause and the time after which it may return."""
    refused = dict(context.result.refused)[context.late]
    assert refused.cause.value == cause, refused
    assert 0.05 <= refused.retry_s <= seconds, refused


def _offer(wait_s: float) -> Offer[str]:
    """Return an engine at which so much waits."""
    return Offer('engine', wait_s, wait_s, wait_s, CHUNK_S, TOKENS)


@when('the load "{name}" is played by each rule')
def step_play(context: Context, name: str) -> None:
    """Play a load; the plays of a load are kept for later scenarios."""
    if name not in _played:
        plays = {}
        for rule in (Rule.EARLY, Rule.ROUTER):
            plays[rule] = [play(LOADS[name], rule, seed) for seed in SEEDS]
        _played[name] = plays
    context.load, context.plays = LOADS[name], _played[name]


def _count(context: Context, rule: Rule, test: str) -> int:
    count = 0
    for outcome in context.plays[rule]:
        for job in outcome.jobs:
            count += job.in_burst and getattr(job, test)
    return count


@then('with the queue more are in time than when refused early')
def step_in_time(context: Context) -> None:
    """Compare the requests in time."""
    early = _count(context, Rule.EARLY, 'in_time')
    assert _count(context, Rule.ROUTER, 'in_time') > early, early


@then('more are served')
def step_served(context: Context) -> None:
    """Compare the requests that were served at all."""
    early = _count(context, Rule.EARLY, 'served')
    assert _count(context, Rule.ROUTER, 'served') > early, early


@then('no kind is served less than a less urgent one')
def step_kinds(context: Context) -> None:
    """Compare the shares of kinds that were served."""
    for outcome in context.plays[Rule.ROUTER]:
        query = outcome.share('query', lambda job: job.served)
        assert query >= outcome.share('audit', lambda job: job.served), query


@then('{part:f} of "{kind}" are in time and {served:f} are served')
def step_parts(
    context: Context, part: float, kind: str, served: float
) -> None:
    """Check the shares of a kind in each play."""
    for outcome in context.plays[Rule.ROUTER]:
        found = (
            outcome.share(kind, lambda job: job.in_time),
            outcome.share(kind, lambda job: job.served),
        )
        assert found[0] >= part and found[1] >= served, found


@then('{part:f} of "{kind}" of the other teams are in time')
def step_others(context: Context, part: float, kind: str) -> None:
    """Check the share of the teams that send their usual."""
    numbers = range(context.load.flooding, context.load.teams)
    others = frozenset(f'team-{number}' for number in numbers)
    for outcome in context.plays[Rule.ROUTER]:
        found = outcome.share(kind, lambda job: job.in_time, others)
        assert found >= part, found


@when('team "{team}" becomes active')
def step_active(context: Context, team: str) -> None:
    """Let a team send a request."""
    _shares(context).mark_active(team, 0.0)


@then('"{team}" counts {tokens:d} tokens')
def step_counts(context: Context, team: str, tokens: int) -> None:
    """Check a counter."""
    assert _shares(context).service(team, 0.0) == tokens


@when('the counters are sent to another router and back')
def step_exchange(context: Context) -> None:
    """Exchange all messages until none is left."""
    context.other = TeamShares()
    ends = [('a', _shares(context)), ('b', context.other)]
    for _ in range(4):
        (name, sender), (_, receiver) = ends
        for full in (False, True):
            data = sender.collect(0.0, full)
            if data is not None:
                encoded = msgspec.msgpack.encode(data)
                receiver.apply(name, encoded, 0.0)
        ends.reverse()


@then('"{team}" counts {tokens:d} tokens at both')
def step_both(context: Context, team: str, tokens: int) -> None:
    """Check the counter of both routers."""
    for shares in (_shares(context), context.other):
        assert shares.service(team, 0.0) == tokens


@when('a peer sends {tokens} tokens of "{team}"')
def step_peer(context: Context, tokens: str, team: str) -> None:
    """Apply a message of a faulty peer."""
    value = math.nan if tokens == 'nan' else float(tokens)
    encoded = msgspec.msgpack.encode({team: value})
    _shares(context).apply('peer', encoded, 0.0)
