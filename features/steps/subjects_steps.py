"""Check the placement of prompts whose subject a router rarely sees."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import Engine
from lacewing_daemon.direct import Prompt
from lacewing_daemon.direct import PromptPart
from lacewing_daemon.direct import Route
from lacewing_daemon.direct import Service
from lacewing_daemon.direct import TrafficShare
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._candidates import by_preference
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._target import Target
from support.direct_bench import BOUNDS
from tornado.httputil import HTTPHeaders

SERVICE = 'models'
MODEL = 'tutor'
URGENCY = 0
LEFT_MS = 2000.0
NOW_S = 100.0
PARTS = (
    PromptPart('a', 2000),
    PromptPart('b', 4000),
    PromptPart('own', 400),
)
PROMPT = Prompt(MODEL, 6400, 20, 20, PARTS)


def _create_router(context: Context, speed: float) -> None:
    policy = LoadPolicy(prefill_tokens_per_ms=speed)
    context.cluster_state = ClusterState(BOUNDS, policy, lambda: NOW_S)
    for name in ('m-1', 'm-2'):
        upstream = Upstream(
            name, SERVICE, f'{name}:1', 'east', 8, False, {MODEL: 1}
        )
        context.cluster_state.update_upstream(name, upstream)
    context.prompt = PROMPT
    context.placer = Placer(context.cluster_state, 'east')
    states = context.cluster_state.upstreams_of(SERVICE)
    context.first, context.other = by_preference(PROMPT, states)


@given(
    'engines that prefill {speed:d} tokens per ms and a prompt with'
    ' 6,000 shared tokens'
)
def step_engines(context: Context, speed: int) -> None:
    """Create a router that has sent no requests."""
    _create_router(context, float(speed))


@when('engines prefill {speed:d} tokens per ms')
def step_faster(context: Context, speed: int) -> None:
    """Start again with faster engines."""
    _create_router(context, float(speed))


@when(
    "the first engine in the prompt's order has {wait_ms:d} ms of"
    ' queued prefill'
)
def step_queued(context: Context, wait_ms: int) -> None:
    """Queue one of the router's own requests there."""
    if wait_ms:
        context.first.open_request(float(wait_ms), URGENCY, NOW_S)


@when('the other engine was sent the shared parts before')
def step_sent(context: Context) -> None:
    """Record the parts as sent."""
    cache_salt = _place(context).cache_salt
    engine = _service().engine
    assert cache_salt is not None and engine is not None
    context.other.record_parts(cache_salt, PROMPT, engine, NOW_S)


@when('the prompt has no parts')
def step_no_parts(context: Context) -> None:
    """Use a prompt with only a model and a length."""
    context.prompt = Prompt(MODEL, 6400, 20, 20, ())


@then('the prompt is placed on any engine')
def step_any(context: Context) -> None:
    """Check that one of the engines is chosen."""
    placed = _place(context).state
    assert placed in (context.first, context.other)


@then('the prompt is placed on the {which} engine')
def step_placed(context: Context, which: str) -> None:
    """Check the chosen engine."""
    expected = context.first if which == 'first' else context.other
    placed = _place(context).state
    assert placed is expected, placed.upstream.upstream_id


@then('its first event is expected after at least {min_ms:d} ms')
def step_expected(context: Context, min_ms: int) -> None:
    """Check the expected first event."""
    first_event_ms = _place(context).first_event_ms
    assert first_event_ms >= min_ms, first_event_ms


def _service() -> Service:
    return Service(SERVICE, 50, Engine(8, 100_000, 1.0, 1e9, (MODEL,)))


def _place(context: Context) -> Target:
    route = Route(
        name='chat',
        host='host',
        path_prefix='/chat/',
        repeatable=False,
        is_streaming=True,
        resumable=True,
        timeout_s=15.0,
        latency_target_s=2.0,
        priority=URGENCY,
        max_runs=2,
        is_public=True,
        shares=(TrafficShare(SERVICE, 1.0),),
    )
    request = CallerRequest(
        'POST',
        '/chat/1',
        'host',
        'request-1',
        HTTPHeaders(),
        b'',
        NOW_S,
        15.0,
        '',
        context.prompt,
        None,
    )
    placed = context.placer.place(
        request,
        Admitted(route, _service(), None),
        frozenset(),
        LEFT_MS,
        NOW_S,
    )
    assert isinstance(placed, Target), placed
    return placed
