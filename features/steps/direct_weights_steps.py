"""Check a router's time limits for weights that were superseded."""

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
from support.known_engines import know_engines
from support.known_engines import ROUTE
from support.known_engines import SERVICE
from tornado.httputil import HTTPHeaders

WANTED_MS = 1000.0
# How often the scenarios look, and what rounding may make of a time.
LOOK_S = 0.1
APART_S = 4.4
ROUNDING_S = 1e-6
# What a busier engine has to read before; less than what the older weights
# of an idle one count for.
BUSY_MS = 20.0


class _Clock:
    """Hold the scenario's time."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Return it."""
        return self.now_s


class _Router:
    """Hold one router's knowledge, and the namings that it was told."""

    def __init__(self, engines: int) -> None:
        self.clock = _Clock()
        self.knowledge = ClusterState(BOUNDS, LoadPolicy(), self.clock)
        self.named: dict[int, float] = {}
        self.ids = know_engines(self.knowledge, ['z0'] * engines)
        self.placer = Placer(self.knowledge, 'z0')

    def name(self, version: int, unsure_s: float = 0.0) -> None:
        """Name a version now, or at some time in the last seconds."""
        self.named[version] = self.clock.now_s
        self.knowledge.record_release(
            ReleasedWeights(MODEL, version), unsure_s
        )

    def loaded(self, name: str, version: int) -> None:
        """Let an engine tell that it has a version."""
        state = self.knowledge.upstream(name)
        assert state is not None
        state.update_weights(MODEL, version)

    def place(self, excluded: frozenset[str] = frozenset()) -> Target:
        """Return where a prompt is placed now."""
        prompt = Prompt(MODEL, 900, 50, 13, (PromptPart('one', 900),))
        target = self.placer.place(
            _request(prompt),
            Admitted(ROUTE, SERVICE, None),
            excluded,
            WANTED_MS,
            self.clock.now_s,
        )
        assert isinstance(target, Target), target
        return target

    def asked(self, name: str) -> int:
        """Return the version that an engine is asked for now."""
        others = frozenset(self.ids) - {name}
        target = self.place(others)
        assert target.weights is not None
        return target.weights

    def overdue_s(self, version: int) -> float:
        """Return for how long a version is superseded."""
        newer = []
        for other, at_s in self.named.items():
            if other > version:
                newer.append(self.clock.now_s - at_s)
        return max(newer, default=0.0)


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
    """Make a router, to which version 1 was named long ago."""
    context.weights_router = _Router(count)
    context.weights_router.name(1)
    context.weights_router.clock.now_s += 100.0
    context.asked = []


@when('weights are released after {times} s and none are loaded')
def step_series(context: Context, times: str) -> None:
    """Name versions at these times; place prompts in between."""
    _play(context, [float(text) for text in times.split(',')])


def _play(context: Context, times: list[float]) -> None:
    """Note what an engine is asked for, and for how long it is superseded."""
    router = context.weights_router
    begin_s = router.clock.now_s
    looks = int((max(times) + BOUNDS.weights_s) / LOOK_S) + 2
    events = [(look * LOOK_S, False) for look in range(looks)]
    events.extend((at_s, True) for at_s in times)
    version = 1
    for at_s, names in sorted(events):
        router.clock.now_s = begin_s + at_s
        if names:
            version += 1
            router.name(version)
            continue
        for name in router.ids:
            asked = router.asked(name)
            context.asked.append(
                (at_s, asked, router.overdue_s(asked), router.overdue_s(1))
            )


@then('no engine is ever asked to begin a run on weights superseded 8 s ago')
def step_never(context: Context) -> None:
    """Look at each version that was asked for."""
    assert context.asked
    for asked in context.asked:
        assert asked[2] <= BOUNDS.weights_s + ROUNDING_S, asked


@then('each is used until three quarters of that time')
def step_used(context: Context) -> None:
    """Check that what they have is asked for as long as that is allowed."""
    limit_s = BOUNDS.weights_s * OLD_WEIGHTS_FRACTION
    for asked in context.asked:
        if asked[3] < limit_s - LOOK_S:
            assert asked[1] == 1, asked


@when(
    '{count:d} versions are released within {span_s:d} s and none are loaded'
)
def step_many(context: Context, count: int, span_s: int) -> None:
    """Name versions without a pause."""
    _play(context, [number * span_s / count for number in range(count)])


@then('the router stores few releases')
def step_few(context: Context) -> None:
    """Count those that it keeps."""
    kept = len(context.weights_router.knowledge.releases(MODEL))
    limit_s = BOUNDS.weights_s * OLD_WEIGHTS_FRACTION
    assert kept <= limit_s / RELEASE_MERGE_INTERVAL_S + 2, kept


@when(
    'weights are released after 0, {second:d} s and an engine has'
    ' loaded version {version:d}'
)
def step_one_loads(context: Context, second: int, version: int) -> None:
    """Name two versions; an engine has the first."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.name(2)
    context.ahead = router.ids[0]
    router.loaded(context.ahead, version)
    router.clock.now_s += second
    router.name(3)


@then(
    '{after_s:d} s after the first release that engine is asked for'
    ' version {version:d}'
)
def step_ahead(context: Context, after_s: int, version: int) -> None:
    """Look at what it is asked for."""
    router = context.weights_router
    router.clock.now_s = context.begin_s + after_s
    assert router.asked(context.ahead) == version


@then('the other engines are asked for version {version:d}')
def step_others(context: Context, version: int) -> None:
    """Look at the engines that have the oldest weights."""
    router = context.weights_router
    for name in router.ids[1:]:
        assert router.asked(name) == version, name


@when(
    'weights are released after 0, {second:f} s and a busy engine has the last'
)
def step_busier(context: Context, second: float) -> None:
    """Name two versions; one engine has the newer and a prompt to read."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.name(2)
    router.clock.now_s += second
    router.name(3)
    context.busier = router.place().state.upstream.upstream_id
    router.loaded(context.busier, 3)
    state = router.knowledge.upstream(context.busier)
    state.open_request(BUSY_MS, 5, router.clock.now_s)


@then('until {old_s:f} s the idle engine is chosen and then the busier one')
def step_until(context: Context, old_s: float) -> None:
    """Place a prompt right before and after."""
    before = _chosen_at(context, old_s - LOOK_S)
    assert before != context.busier, before
    after = _chosen_at(context, old_s + LOOK_S)
    assert after == context.busier, after


@when(
    'weights are released, one engine loads them and has'
    ' {prefill_ms:d} ms of queued prefill'
)
def step_one_has(context: Context, prefill_ms: int) -> None:
    """Name version 2."""
    router = context.weights_router
    context.begin_s = router.clock.now_s
    router.name(2)
    context.busier = router.place().state.upstream.upstream_id
    router.loaded(context.busier, 2)
    state = router.knowledge.upstream(context.busier)
    state.open_request(prefill_ms, 0, router.clock.now_s)


@then('once older weights are overdue that engine is chosen')
def step_overdue_last(context: Context) -> None:
    """Place a prompt right after that."""
    limit_s = context.weights_router.knowledge.old_weights_limit_s
    chosen = _chosen_at(context, limit_s + LOOK_S)
    assert chosen == context.busier, chosen


def _chosen_at(context: Context, at_s: float) -> str:
    router = context.weights_router
    router.clock.now_s = context.begin_s + at_s
    # Engines from which nothing comes are left out.
    router.knowledge.upstream(context.busier).data_received(router.clock.now_s)
    upstream_id: str = router.place().state.upstream.upstream_id
    return upstream_id


@when('engines accept no orders and weights are released 4.4 s apart')
def step_lag(context: Context) -> None:
    """Name version 2, then 3; a prompt begins on version 1 meanwhile."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.ignores_orders = True
    _put(context, 2)
    context.named_s = time.monotonic()
    bench.run(sleep(APART_S))
    _put(context, 3)
    assert bench.ask_model().status == 200, bench.answer


def _put(context: Context, version: int) -> None:
    bench = direct_bench(context)
    named = {'Model': MODEL, 'Version': version}
    bench.on_loop(lambda: bench.store.put('versions', MODEL, named))


@then('from 8 s after the first release on no prompt begins on version 1')
def step_none_begins(context: Context) -> None:
    """Send prompts until the second version is overdue too."""
    bench = direct_bench(context)
    begin_s = context.named_s + BOUNDS.weights_s
    bench.run(sleep(begin_s - time.monotonic()))
    ran = len(bench.ran())
    while time.monotonic() < begin_s + APART_S:
        bench.ask_model()
        bench.run(sleep(LOOK_S))
    assert len(bench.ran()) == ran, bench.received()[-1].headers
