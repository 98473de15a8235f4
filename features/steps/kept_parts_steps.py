"""Check what a router counts on to be kept."""

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
from support.known_engines import know_engines
from support.known_engines import MODEL
from support.known_engines import ROUTE
from support.known_engines import SERVICE
from tornado.httputil import HTTPHeaders

WANTED_MS = 400.0
NOW_S = 100.0
SHARED_TOKENS = 2520 + 3780
TOKENS_PER_MS = LoadPolicy().prefill_tokens_per_ms


class _Router:
    """Hold one router's knowledge and its placer."""

    def __init__(self, zone: str, zones: list[str]) -> None:
        self.knowledge = ClusterState(BOUNDS, LoadPolicy(), lambda: NOW_S)
        self.zone = zone
        kept = Service(
            'kept', 0, None, KvStore('127.0.0.1:9', 'z0', 10**6, 4.5e10)
        )
        know_engines(self.knowledge, zones, {'kept': kept})
        self.admitted = Admitted(ROUTE, SERVICE, None)
        self.once = Admitted(replace(ROUTE, resumable=False), SERVICE, None)
        self.placer = Placer(self.knowledge, zone)

    def place(
        self, prompt: Prompt, excluded: frozenset[str] = frozenset()
    ) -> Target:
        """Return where a prompt is placed."""
        target = self.placer.place(
            _request(prompt), self.admitted, excluded, WANTED_MS, NOW_S
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
    """Make routers that know the same engines."""
    names = [f'z{number}' for number in range(zones)]
    placed = [names[number % zones] for number in range(engines)]
    context.routers = [_Router(zone, placed) for zone in names]


@when('a router has sent a prompt that was not answered yet')
def step_sent(context: Context) -> None:
    """Send a prompt; no first event comes."""
    router = context.routers[0]
    context.first = router.place(_prompt('first'))
    context.first.state.open_request(context.first.prefill_ms, 1, NOW_S)
    router.placer.cached_parts.record_sent(
        context.first, _prompt('first'), ENGINE, NOW_S
    )


@then('other engines must prefill its parts')
def step_read(context: Context) -> None:
    """Place a prompt with the same parts where the first one is not."""
    router = context.routers[0]
    first_id = context.first.state.upstream.upstream_id
    elsewhere = router.place(_prompt('second'), frozenset((first_id,)))
    assert elsewhere.prefill_ms > SHARED_TOKENS / TOKENS_PER_MS, elsewhere


@then('once it is answered they only need to fetch them')
def step_fetched(context: Context) -> None:
    """Note the first event and place it again."""
    router = context.routers[0]
    first_id = context.first.state.upstream.upstream_id
    router.placer.cached_parts.record_prefilled(
        context.first, _prompt('first'), NOW_S
    )
    elsewhere = router.place(_prompt('second'), frozenset((first_id,)))
    assert elsewhere.prefill_ms < SHARED_TOKENS / TOKENS_PER_MS, elsewhere


@given('each router knows of {count:d} routers')
def step_known(context: Context, count: int) -> None:
    """Tell each router how many there are."""
    for router in context.routers:
        router.knowledge.set_router_count(count)


@when('a router places runs that must not be retried')
def step_runs(context: Context) -> None:
    """Place and send many short prompts."""
    router = context.routers[0]
    context.copies = {}
    for number in range(100):
        prompt = Prompt(MODEL, 900, 80, 20, (PromptPart(f'{number}', 900),))
        target = router.placer.place(
            _request(prompt), router.once, frozenset(), WANTED_MS, NOW_S
        )
        assert isinstance(target, Target), target
        holder = target.copy_to
        if holder is None:
            continue
        holder.open_copy(prompt.tokens)
        name = holder.upstream.upstream_id
        context.copies[name] = context.copies.get(name, 0) + 1


@then('each other engine keeps copies of at most {count:d} of them')
def step_copied(context: Context, count: int) -> None:
    """Check the most, and that it is reached."""
    assert max(context.copies.values(), default=0) == count, context.copies
