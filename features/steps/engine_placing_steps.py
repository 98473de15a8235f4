"""Check the use of the models of engines in decisions."""

from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._candidates import by_preference
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._silence_history import SilenceHistory
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct.engines import _reporter
from lacewing_daemon.direct.engines import EngineEstimate
from lacewing_daemon.direct.engines import EngineModels
from lacewing_daemon.direct.engines import FirstEvent
from lacewing_daemon.direct.engines import SpeedReporter
from lacewing_daemon.rendezvous import rank_weighted
from lacewing_daemon.rendezvous import rank_workers
from prometheus_client import REGISTRY
from steps.subjects_steps import _place
from steps.subjects_steps import MODEL
from steps.subjects_steps import NOW_S
from steps.subjects_steps import PROMPT
from steps.subjects_steps import SERVICE
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench

USUAL_MS = 80.0
CONTENDED = {'a contended': True, 'an uncontended': False}


class _ClusterState(ClusterState):
    """Hold a service that is contended or not."""

    contended = True

    def is_contended(self, service_name: str) -> bool:
        """Return the same for all services."""
        return self.contended


def _update(context: Context, name: str, started_ms: int) -> None:
    context.cluster_state.update_upstream(
        name,
        Upstream(
            name,
            SERVICE,
            f'{name}:1',
            'east',
            8,
            False,
            {MODEL: 1},
            started_ms,
        ),
    )


@given('{kind} service with engines of which one was {factor:d} times slower')
def step_service(context: Context, kind: str, factor: int) -> None:
    """Let the first engine of the prompt's subject be the slow one."""
    policy = LoadPolicy(kept_at_first=0.0)
    context.cluster_state = _ClusterState(BOUNDS, policy, lambda: NOW_S)
    context.cluster_state.contended = CONTENDED[kind]
    for name in ('m-1', 'm-2'):
        _update(context, name, 1)
    context.prompt = PROMPT
    context.placer = Placer(context.cluster_state, 'east')
    context.first, context.other = by_preference(
        PROMPT, context.cluster_state.upstreams_of(SERVICE)
    )
    models = context.cluster_state.engine_models(SERVICE)
    for number in range(20):
        at_s = NOW_S - 10 + number / 2
        for state, times in ((context.first, factor), (context.other, 1)):
            name = state.upstream.upstream_id
            event = FirstEvent(6400, 0.0, USUAL_MS * times, 1.0)
            models.record_first_event(name, event, at_s)
            models.record_run(name, 50, 450.0 * times, at_s)


@when('first events at the other engine were {late_ms:d} ms late')
def step_late(context: Context, late_ms: int) -> None:
    """Record lateness, which the model replaces."""
    context.other.record_lateness(float(late_ms), NOW_S)


@when('the slow engine restarts')
def step_restart(context: Context) -> None:
    """Apply the entry of a later incarnation."""
    _update(context, context.first.upstream.upstream_id, 2)
    context.first = context.cluster_state.upstream(
        context.first.upstream.upstream_id
    )


@then('a prompt is placed on the other engine')
def step_other(context: Context) -> None:
    """Compare the target."""
    assert _place(context).state is context.other


def _target_at(context: Context, which: str) -> Target:
    """Return the target with the other of the two engines excluded."""
    state = context.other if which == 'first' else context.first
    state.exclude_for(NOW_S, 1.0)
    target = _place(context)
    state._excluded_until_s = 0.0
    return target


@then('the slow engine is expected to take {low:d} to {high:d} times as long')
def step_expected(context: Context, low: int, high: int) -> None:
    """Compare the expected first events."""
    context.slow = _target_at(context, 'first')
    context.usual = _target_at(context, 'other')
    ratio = context.slow.first_event_ms / context.usual.first_event_ms
    assert low <= ratio <= high, ratio


@then('its run is expected to take longer, for copies and loads of weights')
def step_run(context: Context) -> None:
    """Compare the step times."""
    assert context.slow.step_ms > 1.5 * context.usual.step_ms


@then('both engines are expected to take the configured time')
def step_configured(context: Context) -> None:
    """Compare with the policy."""
    policy = LoadPolicy()
    expected_ms = 6400 / policy.prefill_tokens_per_ms + policy.step_ms
    for which in ('first', 'other'):
        target = _target_at(context, which)
        assert abs(target.first_event_ms - expected_ms) < 0.1, target


@then('the slow engine is expected to take as long as the service')
def step_of_service(context: Context) -> None:
    """Compare the new incarnation with an engine without samples."""
    models = context.cluster_state.engine_models(SERVICE)
    usual = models.service_estimate(NOW_S)
    expected_ms = 6400 / usual.tokens_per_ms + usual.fixed_ms
    target = _target_at(context, 'first')
    assert abs(target.first_event_ms - expected_ms) < 0.1, target


@given('{count:d} engines, half of them with twice the share of the others')
def step_shares(context: Context, count: int) -> None:
    """Name engines and their shares."""
    context.ids = tuple(f'engine-{number}' for number in range(count))
    context.shares = [1.0 + number % 2 for number in range(count)]


def _first(context: Context, subject: int) -> str:
    key = subject.to_bytes(8, 'big')
    return rank_weighted(key, context.ids, context.shares)[0]


@when('4,000 subjects are placed by shares')
def step_subjects(context: Context) -> None:
    """Keep the first engine of each."""
    context.firsts = [_first(context, subject) for subject in range(4000)]


@then(
    'the engines with the larger share are first for {low:f} to {high:f} of'
    ' them'
)
def step_larger(context: Context, low: float, high: float) -> None:
    """Count the subjects."""
    larger = context.ids[1::2]
    part = sum(one in larger for one in context.firsts) / len(context.firsts)
    assert low <= part <= high, part


@then('a change of one share moves only subjects of that engine')
def step_moves(context: Context) -> None:
    """Halve the share of one engine."""
    context.shares[1] = 1.0
    for subject, before in enumerate(context.firsts):
        if before != context.ids[1]:
            assert _first(context, subject) == before


@then('equal shares give the order without shares')
def step_equal(context: Context) -> None:
    """Compare the two rankings."""
    ids = context.ids
    for subject in range(200):
        key = subject.to_bytes(8, 'big')
        weighted = rank_weighted(key, ids, [1.0] * len(ids))
        assert weighted == rank_workers(key, ids, len(ids))


@given('an engine whose times vary between {low:f} and {high:f} of the usual')
def step_varies(context: Context, low: float, high: float) -> None:
    """Keep the share after each first event."""
    models = EngineModels(LoadPolicy(prefill_tokens_per_ms=100.0, step_ms=10))
    context.seen = []
    for number in range(400):
        factor = low if number // 20 % 2 else high
        event = FirstEvent(2900, 2.0, 39.0 * factor, 1.0)
        models.record_first_event('one', event, number * 0.5)
        context.seen.append(models.share('one', number * 0.5))


@then('its share of subjects changes at most once')
def step_changes(context: Context) -> None:
    """Count the changes."""
    pairs = zip(context.seen, context.seen[1:], strict=False)
    assert sum(before != after for before, after in pairs) <= 1


@given('silences of {silent_ms:d} ms at usual engines')
def step_silences(context: Context, silent_ms: int) -> None:
    """Record silences that ended."""
    context.history = SilenceHistory()
    for _ in range(5):
        context.history.record(silent_ms / 1000, NOW_S)


@then('an engine that is twice as {kind} may be silent for {silent_ms:d} ms')
def step_silent(context: Context, kind: str, silent_ms: int) -> None:
    """Compare with the usual silence of the engine."""
    factor = 2.0 if kind == 'slow' else 0.5
    usual_s = context.history.usual_silence_s(NOW_S, factor)
    assert abs(usual_s * 1000 - silent_ms) < 1e-6, usual_s


@given('all services are contended')
def step_contended(context: Context) -> None:
    """Turn the switch of the router on."""
    context.state = direct_bench(context).routers[0]._fleet.cluster_state
    context.state.is_contended = lambda _service: True


@then('the router has samples of an engine for its peers')
def step_samples(context: Context) -> None:
    """Collect what it would send."""
    message = direct_bench(context).on_loop(
        lambda: context.state.engine_speeds.collect(NOW_S, False)
    )
    (sums,) = message.services['models'].engines.values()
    assert (sums.count, sums.run_tokens) == (1, 20), sums
    assert sums.took_ms > 0


@given('a reporter of the speed of engines')
def step_reporter(context: Context) -> None:
    """Keep what it logs."""
    context.reporter = SpeedReporter(NOW_S)
    context.log = context.resources.enter_context(
        patch.object(_reporter, '_log')
    )


def _report(context: Context, name: str, factor: float, at_s: float) -> None:
    estimate = EngineEstimate(40.0 / factor, 9.0, 9.0 * factor, factor)
    context.reporter.report(SERVICE, name, estimate, 10.0, at_s)


def _gauge(name: str) -> float | None:
    value: float | None = REGISTRY.get_sample_value(
        'lacewing_direct_engine_factor',
        {'service': SERVICE, 'upstream': name},
    )
    return value


@when(
    'an engine is reported {factor:d} times slower {times:d} times, then as'
    ' usual'
)
def step_reported(context: Context, factor: int, times: int) -> None:
    """Report once per second, then after the minimum interval."""
    for number in range(times):
        _report(context, 'm-1', float(factor), NOW_S + number)
    assert _gauge('m-1') == factor
    _report(context, 'm-1', 1.0, NOW_S + 20)


@then('the log tells that it is slow and that it is no longer slow')
def step_logged(context: Context) -> None:
    """Compare the lines."""
    lines = [call.args[0] for call in context.log.info.call_args_list]
    assert lines == ['An engine is slow.', 'An engine is no longer slow.']


@then('its factor is exposed until no first event came for {span_s:d} s')
def step_exposed(context: Context, span_s: int) -> None:
    """Report another engine after that."""
    assert _gauge('m-1') == 1.0
    _report(context, 'm-2', 1.0, NOW_S + 21 + span_s)
    assert _gauge('m-1') is None
