"""Check which parts and copies a router relies on."""

from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import KvStore
from lacewing_daemon.direct import Prompt
from lacewing_daemon.direct import PromptPart
from lacewing_daemon.direct import Service
from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._target import Target
from support.direct_bench import BOUNDS
from support.known_engines import ENGINE
from support.known_engines import MODEL
from support.known_engines import register_engines
from support.known_engines import ROUTE
from support.known_engines import SERVICE
from tornado.httputil import HTTPHeaders

LEFT_MS = 400.0
NOW_S = 100.0
SHARED_TOKENS = 2520 + 3780
TOKENS_PER_MS = LoadPolicy().prefill_tokens_per_ms


class _Router:
    """Hold one router's cluster state and its placer."""

    def __init__(self, zone: str, zones: list[str]) -> None:
        self.cluster_state = ClusterState(BOUNDS, LoadPolicy(), lambda: NOW_S)
        self.zone = zone
        store = Service(
            'kept', 0, None, KvStore('127.0.0.1:9', 'z0', 10**6, 4.5e10)
        )
        register_engines(self.cluster_state, zones, {'kept': store})
        self.admitted = Admitted(ROUTE, SERVICE, None)
        self.without_retry = Admitted(
            replace(ROUTE, resumable=False), SERVICE, None
        )
        self.placer = Placer(self.cluster_state, zone)

    def place(
        self, prompt: Prompt, excluded: frozenset[str] = frozenset()
    ) -> Target:
        """Return the target chosen for a prompt."""
        target = self.placer.place(
            _request(prompt), self.admitted, excluded, LEFT_MS, NOW_S
        )
        assert isinstance(target, Target), target
        return target


def _prompt(own: str) -> Prompt:
    parts = (
        PromptPart('handbook', 2520),
        PromptPart('chapter', 3780),
        PromptPart(own, 2890),
    )
    return Prompt(MODEL, 9190, 50, 13, parts)


def _request(prompt: Prompt) -> CallerRequest:
    return CallerRequest(
        'POST',
        '/check/1',
        'handbook.example',
        'request-1',
        HTTPHeaders(),
        b'',
        NOW_S,
        5.0,
        '',
        prompt,
        None,
    )


@given('{engines:d} engines in {zones:d} zones and a router in each zone')
def step_routers(context: Context, engines: int, zones: int) -> None:
    """Create routers that know the same engines."""
    names = [f'z{number}' for number in range(zones)]
    engine_zones = [names[number % zones] for number in range(engines)]
    context.routers = [_Router(zone, engine_zones) for zone in names]


@when('a router has sent a prompt that was not answered yet')
def step_sent(context: Context) -> None:
    """Send a prompt that gets no first event."""
    router = context.routers[0]
    context.first = router.place(_prompt('first'))
    context.first.state.open_request(context.first.prefill_ms, 1, NOW_S)
    router.placer.cached_parts.record_sent(
        context.first, _prompt('first'), ENGINE, NOW_S
    )


@then('other engines must prefill its parts')
def step_prefilled(context: Context) -> None:
    """Place a prompt with the same parts on another engine."""
    router = context.routers[0]
    first_id = context.first.state.upstream.upstream_id
    elsewhere = router.place(_prompt('second'), frozenset((first_id,)))
    assert elsewhere.prefill_ms > SHARED_TOKENS / TOKENS_PER_MS, elsewhere


@then('once it is answered they only need to fetch them')
def step_fetched(context: Context) -> None:
    """Record the first event and place the prompt again."""
    router = context.routers[0]
    first_id = context.first.state.upstream.upstream_id
    router.placer.cached_parts.record_prefilled(
        context.first, _prompt('first'), NOW_S
    )
    elsewhere = router.place(_prompt('second'), frozenset((first_id,)))
    assert elsewhere.prefill_ms < SHARED_TOKENS / TOKENS_PER_MS, elsewhere


@given('each router knows of {count:d} routers')
def step_known(context: Context, count: int) -> None:
    """Set the number of routers in each one's cluster state."""
    for router in context.routers:
        router.cluster_state.set_router_count(count)


@when('a router places runs that must not be retried')
def step_runs(context: Context) -> None:
    """Place and send many short prompts."""
    router = context.routers[0]
    context.copies = {}
    for number in range(100):
        prompt = Prompt(MODEL, 900, 80, 20, (PromptPart(f'{number}', 900),))
        target = router.placer.place(
            _request(prompt), router.without_retry, frozenset(), LEFT_MS, NOW_S
        )
        assert isinstance(target, Target), target
        copy_upstream = target.copy_to
        if copy_upstream is None:
            continue
        copy_upstream.open_copy(prompt.tokens)
        name = copy_upstream.upstream.upstream_id
        context.copies[name] = context.copies.get(name, 0) + 1


@then('each other engine keeps copies of at most {count:d} of them')
def step_copied(context: Context, count: int) -> None:
    """Check the maximum, which is also reached."""
    assert max(context.copies.values(), default=0) == count, context.copies
