"""Check the estimates that routers make of the speed of engines."""

from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._estimates import apply_estimates
from lacewing_daemon.direct._estimates import Estimates
from lacewing_daemon.direct._estimates import PrefillSample
from lacewing_daemon.direct._policy import LoadPolicy
from support.direct_bench import BOUNDS

CONFIGURED = LoadPolicy()
SAMPLE_INTERVAL_S = 0.3
NETWORK_DELAY_MS = 4.0
MEAN_WAIT_MS = 60.0
MEAN_TOKENS = 2000.0
LATE_MS = 3000.0


@given(
    'engines with a prefill speed of {speed:d} tokens per ms and a'
    ' step time of {step_ms:d} ms'
)
def step_engines(context: Context, speed: int, step_ms: int) -> None:
    """Start without samples."""
    context.random = Random(1)
    context.estimates = Estimates()
    context.now_s = 100.0
    context.speed = float(speed)
    context.step_ms = float(step_ms)


def _record(
    context: Context, tokens: int, extra_ms: float, shared: int = 0
) -> None:
    prefill_ms = tokens / context.speed
    took_ms = prefill_ms + context.step_ms + NETWORK_DELAY_MS + extra_ms
    context.estimates.record_prefill(
        PrefillSample(context.now_s, tokens, shared, took_ms)
    )
    context.now_s += SAMPLE_INTERVAL_S


def _tokens(context: Context) -> int:
    return 50 + int(context.random.expovariate(1 / MEAN_TOKENS))


@when(
    'a router receives {count:d} first events, a fraction of {load:f}'
    ' queued behind other prompts'
)
def step_receives(context: Context, count: int, load: float) -> None:
    """Queue a fraction behind prompts that the router doesn't know of."""
    for _ in range(count):
        wait_ms = 0.0
        if context.random.random() < load:
            wait_ms = context.random.expovariate(1 / MEAN_WAIT_MS)
        _record(context, _tokens(context), wait_ms)


@when('a router receives {count:d} first events, {late:d} of them 3 s late')
def step_late(context: Context, count: int, late: int) -> None:
    """Spread the late ones evenly."""
    for number in range(count):
        is_late = number % (count // late) == 0 and number // late < count
        _record(context, _tokens(context), LATE_MS if is_late else 0.0)


@when('a router receives {count:d} first events of prompts of 2,000 tokens')
def step_alike(context: Context, count: int) -> None:
    """Record samples of the same length only."""
    for _ in range(count):
        _record(context, 2000, 0.0)


@when('the samples are {span_s:d} s old')
def step_pass(context: Context, span_s: int) -> None:
    """Advance the time."""
    context.now_s += span_s


@when('the prefill speed changes to {speed:d} tokens per ms')
def step_changed(context: Context, speed: int) -> None:
    """Change the speed of the engines."""
    context.speed = float(speed)


def _policy(context: Context) -> LoadPolicy:
    return apply_estimates(CONFIGURED, context.estimates, context.now_s)


@then('the speed is estimated within {part:d}%')
def step_estimated(context: Context, part: int) -> None:
    """Compare with the true speed."""
    speed = _policy(context).prefill_tokens_per_ms
    error = abs(speed / context.speed - 1)
    assert error <= part / 100, speed


@then('the speed is at most {max_speed:d} tokens per ms')
def step_max_speed(context: Context, max_speed: int) -> None:
    """Compare with the upper bound."""
    assert _policy(context).prefill_tokens_per_ms <= max_speed


@then('the configured speed applies')
def step_configured(context: Context) -> None:
    """Compare with the configured policy."""
    assert _policy(context) == CONFIGURED, _policy(context)


@given(
    'runs of {tokens:d} tokens on average that take {step_ms:f} ms per token'
)
def step_runs(context: Context, tokens: int, step_ms: float) -> None:
    """Start without samples."""
    step_engines(context, 41, 9)
    context.tokens = tokens
    context.token_ms = step_ms


@when(
    '{count:d} of them end, their lengths estimated as half to twice as long'
)
def step_end(context: Context, count: int) -> None:
    """Estimate each length with an error whose median is zero."""
    for _ in range(count):
        tokens = 1 + int(context.random.expovariate(1 / context.tokens))
        estimate = max(1, int(tokens * 2 ** context.random.uniform(-1, 1)))
        took_ms = tokens * context.token_ms
        context.estimates.record_run(estimate, took_ms, context.now_s)


@then('a token is estimated to take {step_ms:f} ms within {part:d}%')
def step_token(context: Context, step_ms: float, part: int) -> None:
    """Compare with the true time."""
    estimated = _policy(context).step_ms
    assert abs(estimated / step_ms - 1) <= part / 100, estimated


@given('a load that takes {load_ms:d} ms')
def step_load(context: Context, load_ms: int) -> None:
    """Start without samples."""
    step_engines(context, 41, 9)
    context.load_ms = load_ms


@when('{count:d} engines have loaded, {late:d} of them 3 s late')
def step_loaded(context: Context, count: int, late: int) -> None:
    """Record the late ones first."""
    for number in range(count):
        late_ms = LATE_MS if number < late else 0.0
        spread_ms = context.random.uniform(-50, 50)
        took_ms = context.load_ms + late_ms + spread_ms
        context.estimates.record_load(took_ms, context.now_s)


@then('a load is estimated to take {load_ms:d} ms within {part:d}%')
def step_load_ms(context: Context, load_ms: int, part: int) -> None:
    """Compare with the true duration."""
    estimated = _policy(context).load_ms
    assert abs(estimated / load_ms - 1) <= part / 100, estimated


@when(
    'a router receives {count:d} first events of two routes, half of'
    ' their shared parts cached'
)
def step_routes(context: Context, count: int) -> None:
    """Give one route long own and shared parts, the other short ones."""
    for number in range(count):
        scale = 4 if number % 2 else 1
        shared = 1500 * scale
        extra_ms = 0.0
        if context.random.random() < 0.5:
            extra_ms = shared / context.speed
        _record(context, scale * _tokens(context) // 3, extra_ms, shared)


@given('a router with samples of engines that prefill {speed:d} tokens per ms')
def step_router(context: Context, speed: int) -> None:
    """Fill the estimates of one service."""
    step_engines(context, speed, 9)
    context.cluster_state = ClusterState(
        BOUNDS, CONFIGURED, lambda: context.now_s
    )
    context.estimates = context.cluster_state.estimates('models')
    step_receives(context, 40, 0.0)


@then('it assumes about {speed:d} tokens per ms for that service')
def step_assumes(context: Context, speed: int) -> None:
    """Check the policy of the service with samples."""
    estimated = context.cluster_state.policy_for(
        'models'
    ).prefill_tokens_per_ms
    assert abs(estimated / speed - 1) < 0.1, estimated


@then('the configured values for another service')
def step_other(context: Context) -> None:
    """Check the policy of a service without samples."""
    assert context.cluster_state.policy_for('others') == CONFIGURED
