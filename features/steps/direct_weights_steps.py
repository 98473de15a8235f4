"""Check a router's time limits for superseded weights."""

import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import CallerRequest
from lacewing_daemon.direct import Prompt
from lacewing_daemon.direct import PromptPart
from lacewing_daemon.direct import ReleasedWeights
from lacewing_daemon.direct._admission import Admitted
from lacewing_daemon.direct._cluster_state import ClusterState
from lacewing_daemon.direct._cluster_state import OLD_WEIGHTS_FRACTION
from lacewing_daemon.direct._placing import Placer
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._target import Target
from lacewing_daemon.direct._weights_releases import RELEASE_MERGE_INTERVAL_S
from support.direct_bench import BOUNDS
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import sleep
from support.known_engines import register_engines
from support.known_engines import ROUTE
from support.known_engines import SERVICE
from tornado.httputil import HTTPHeaders

LEFT_MS = 1000.0
CHECK_INTERVAL_S = 0.1
RELEASE_INTERVAL_S = 4.4
# Tolerance for rounding errors.
ROUNDING_S = 1e-6
# The queued prefill of the busier engine; less than the handicap of an idle
# engine with older weights.
BUSY_MS = 20.0


class _Clock:
    """Hold the simulated time."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Return the simulated time."""
        return self.now_s


class _Router:
    """Hold one router's cluster state and the releases reported to it."""

    def __init__(self, engines: int) -> None:
        self.clock = _Clock()
        self.cluster_state = ClusterState(BOUNDS, LoadPolicy(), self.clock)
        self.released_s: dict[int, float] = {}
        self.ids = register_engines(self.cluster_state, ['z0'] * engines)
        self.placer = Placer(self.cluster_state, 'z0')

    def release(self, version: int, max_age_s: float = 0.0) -> None:
        """Release a version now, or at some time in the last seconds."""
        self.released_s[version] = self.clock.now_s
        self.cluster_state.record_release(
            ReleasedWeights(MODEL, version), max_age_s
        )

    def report_loaded(self, upstream_id: str, version: int) -> None:
        """Report that an engine has a version."""
        state = self.cluster_state.upstream(upstream_id)
        assert state is not None
        state.update_weights(MODEL, version)

    def place(self, excluded: frozenset[str] = frozenset()) -> Target:
        """Return the target chosen for a prompt now."""
        prompt = Prompt(MODEL, 900, 50, 13, (PromptPart('one', 900),))
        target = self.placer.place(
            _request(prompt),
            Admitted(ROUTE, SERVICE, None),
            excluded,
            LEFT_MS,
            self.clock.now_s,
        )
        assert isinstance(target, Target), target
        return target

    def expected_version(self, upstream_id: str) -> int:
        """Return the version that an engine is asked for now."""
        other_ids = frozenset(self.ids) - {upstream_id}
        target = self.place(other_ids)
        assert target.weights is not None
        return target.weights

    def superseded_for_s(self, version: int) -> float:
        """Return the time since a later version was released."""
        ages = []
        for other, at_s in self.released_s.items():
            if other > version:
                ages.append(self.clock.now_s - at_s)
        return max(ages, default=0.0)


def _request(prompt: Prompt) -> CallerRequest:
    return CallerRequest(
        'POST',
        '/check/1',
        'handbook.example',
        'request-1',
        HTTPHeaders(),
        b'',
        0.0,
        5.0,
        '',
        prompt,
        None,
    )


@given('a router with {count:d} engines that have version 1')
def step_router(context: Context, count: int) -> None:
    """Create a router that knows version 1 for a long time."""
    context.weights_router = _Router(count)
    context.weights_router.release(1)
    context.weights_router.clock.now_s += 100.0
    context.checks = []


@when('weights are released after {times} s and none are loaded')
def step_series(context: Context, times: str) -> None:
    """Release versions at these times; place prompts in between."""
    _simulate(context, [float(text) for text in times.split(',')])


def _simulate(context: Context, times: list[float]) -> None:
    """Record the version each engine is asked for and its superseded time."""
    router = context.weights_router
    begin_s = router.clock.now_s
    checks = int((max(times) + BOUNDS.weights_s) / CHECK_INTERVAL_S) + 2
    events = [(check * CHECK_INTERVAL_S, False) for check in range(checks)]
    events.extend((at_s, True) for at_s in times)
    version = 1
    for at_s, is_release in sorted(events):
        router.clock.now_s = begin_s + at_s
        if is_release:
            version += 1
            router.release(version)
            continue
        for upstream_id in router.ids:
            expected = router.expected_version(upstream_id)
            context.checks.append(
                (
                    at_s,
                    expected,
                    router.superseded_for_s(expected),
                    router.superseded_for_s(1),
                )
            )


@then('no engine is ever asked to begin a run on weights superseded 8 s ago')
def step_never(context: Context) -> None:
    """Check each version that was asked for."""
    assert context.checks
    for check in context.checks:
        assert check[2] <= BOUNDS.weights_s + ROUNDING_S, check


@then('each is used until three quarters of that time')
def step_used(context: Context) -> None:
    """Check that their version is asked for as long as that is allowed."""
    limit_s = BOUNDS.weights_s * OLD_WEIGHTS_FRACTION
    for check in context.checks:
        if check[3] < limit_s - CHECK_INTERVAL_S:
            assert check[1] == 1, check


@when(
    '{count:d} versions are released within {span_s:d} s and none are loaded'
)
def step_many(context: Context, count: int, span_s: int) -> None:
    """Release versions without a pause."""
    _simulate(context, [number * span_s / count for number in range(count)])


@then('the router stores few releases')
def step_few(context: Context) -> None:
    """Count the stored releases."""
    stored = len(context.weights_router.cluster_state.releases(MODEL))
    limit_s = BOUNDS.weights_s * OLD_WEIGHTS_FRACTION
    assert stored <= limit_s / RELEASE_MERGE_INTERVAL_S + 2, stored


@when(
    'weights are released after 0, {second:d} s and an engine has'
    ' loaded version {version:d}'
)
def step_one_loads(context: Context, second: int, version: int) -> None:
    """Release two versions; one engine has the first."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.release(2)
    context.loaded_id = router.ids[0]
    router.report_loaded(context.loaded_id, version)
    router.clock.now_s += second
    router.release(3)


@then(
    '{after_s:d} s after the first release that engine is asked for'
    ' version {version:d}'
)
def step_ahead(context: Context, after_s: int, version: int) -> None:
    """Check the version that it is asked for."""
    router = context.weights_router
    router.clock.now_s = context.begin_s + after_s
    assert router.expected_version(context.loaded_id) == version


@then('the other engines are asked for version {version:d}')
def step_others(context: Context, version: int) -> None:
    """Check the engines that have the oldest weights."""
    router = context.weights_router
    for upstream_id in router.ids[1:]:
        assert router.expected_version(upstream_id) == version, upstream_id


@when(
    'weights are released after 0, {second:f} s and a busy engine has the last'
)
def step_busier(context: Context, second: float) -> None:
    """Release two versions; one engine has the later and queued prefill."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.release(2)
    router.clock.now_s += second
    router.release(3)
    context.busier_id = router.place().state.upstream.upstream_id
    router.report_loaded(context.busier_id, 3)
    state = router.cluster_state.upstream(context.busier_id)
    state.open_request(BUSY_MS, 5, router.clock.now_s)


@then('until {old_s:f} s the idle engine is chosen and then the busier one')
def step_until(context: Context, old_s: float) -> None:
    """Place a prompt right before and after."""
    before = _chosen_at(context, old_s - CHECK_INTERVAL_S)
    assert before != context.busier_id, before
    after = _chosen_at(context, old_s + CHECK_INTERVAL_S)
    assert after == context.busier_id, after


@when(
    'weights are released, one engine loads them and has'
    ' {prefill_ms:d} ms of queued prefill'
)
def step_one_has(context: Context, prefill_ms: int) -> None:
    """Release version 2."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.release(2)
    context.busier_id = router.place().state.upstream.upstream_id
    router.report_loaded(context.busier_id, 2)
    state = router.cluster_state.upstream(context.busier_id)
    state.open_request(prefill_ms, 0, router.clock.now_s)


@then('once older weights are overdue that engine is chosen')
def step_overdue_last(context: Context) -> None:
    """Place a prompt right after the limit."""
    limit_s = context.weights_router.cluster_state.old_weights_limit_s
    chosen = _chosen_at(context, limit_s + CHECK_INTERVAL_S)
    assert chosen == context.busier_id, chosen


def _chosen_at(context: Context, at_s: float) -> str:
    router = context.weights_router
    router.clock.now_s = context.begin_s + at_s
    # Silent engines are excluded, so data is received from this one.
    router.cluster_state.upstream(context.busier_id).data_received(
        router.clock.now_s
    )
    upstream_id: str = router.place().state.upstream.upstream_id
    return upstream_id


@when('engines accept no orders and weights are released 4.4 s apart')
def step_no_orders(context: Context) -> None:
    """Release version 2, then 3; a prompt begins on version 1 meanwhile."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.ignores_orders = True
    _put_release(context, 2)
    context.released_s = time.monotonic()
    bench.run(sleep(RELEASE_INTERVAL_S))
    _put_release(context, 3)
    assert bench.ask_model().status == 200, bench.answer


def _put_release(context: Context, version: int) -> None:
    bench = direct_bench(context)
    release = {'Model': MODEL, 'Version': version}
    bench.on_loop(lambda: bench.store.put('versions', MODEL, release))


@then('from 8 s after the first release on no prompt begins on version 1')
def step_none_begins(context: Context) -> None:
    """Send prompts until the second version is overdue too."""
    bench = direct_bench(context)
    begin_s = context.released_s + BOUNDS.weights_s
    bench.run(sleep(begin_s - time.monotonic()))
    ran = len(bench.ran())
    while time.monotonic() < begin_s + RELEASE_INTERVAL_S:
        bench.ask_model()
        bench.run(sleep(CHECK_INTERVAL_S))
    assert len(bench.ran()) == ran, bench.received()[-1].headers
