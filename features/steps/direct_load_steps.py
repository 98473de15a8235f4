"""Check a direct router's decisions under simulated load."""

from dataclasses import dataclass
from dataclasses import replace
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct import Upstream
from lacewing_daemon.direct._choice import EngineView
from lacewing_daemon.direct._choice import NoCapacity
from lacewing_daemon.direct._choice import place_prompt
from lacewing_daemon.direct._choice import send_bounds
from lacewing_daemon.direct._choice import SendBounds
from lacewing_daemon.direct._loading import EngineWeights
from lacewing_daemon.direct._loading import next_loads
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._upstream_state import UpstreamState

SECONDS = 20
LATENCY_TARGET_MS = 400.0
MEAN_PREFILL_MS = 50.0
NO_LIMIT_MS = 1e9
MANY = 20
TOKENS_PER_MS = LoadPolicy().prefill_tokens_per_ms


@dataclass
class _Engine:
    """Simulate an engine that prefills prompts one after the other."""

    free_ms: float = 0.0

    def prefill(self, now_ms: float, prefill_ms: float) -> float:
        """Add a prompt; return the time of its first event."""
        self.free_ms = max(self.free_ms, now_ms) + prefill_ms
        return self.free_ms


@dataclass(frozen=True)
class _SentPrompt:
    """Hold a sent prompt; ``lateness_ms`` is the delay beyond the estimate."""

    first_event_ms: float
    prefill_ms: float
    lateness_ms: float


class _Router:
    """Place prompts by the router's own decisions and requests only.

    ``use_lateness``: also by the recent lateness of its own first events.
    """

    def __init__(
        self,
        engines: int,
        policy: LoadPolicy,
        use_lateness: bool,
        bounds: SendBounds,
    ) -> None:
        self._policy = policy
        self._bounds = bounds
        self._use_lateness = use_lateness
        self._sent: list[list[_SentPrompt]] = []
        self._states: list[UpstreamState] = []
        self._expected_ms = 0.0
        for _ in range(engines):
            self._sent.append([])
            self._states.append(_state())

    def place(
        self, now_ms: float, prefill_ms: float, left_ms: float
    ) -> int | None:
        """Return the engine chosen, None when refused."""
        views = []
        lateness = []
        for number, sent in enumerate(self._sent):
            self._remove_started(number, now_ms)
            wait_ms = sum(prompt.prefill_ms for prompt in sent)
            lateness.append(self._states[number].lateness_ms(now_ms / 1000))
            views.append(
                EngineView(
                    str(number),
                    True,
                    wait_ms + lateness[-1],
                    prefill_ms,
                    len(sent),
                    len(sent),
                )
            )
        placed = place_prompt(
            views, left_ms, self._policy, bounds=self._bounds
        )
        if isinstance(placed, NoCapacity):
            return None
        chosen = int(placed.upstream_id)
        self._expected_ms = now_ms + placed.first_event_ms - lateness[chosen]
        return chosen

    def record_sent(
        self, engine: int, first_event_ms: float, prefill_ms: float
    ) -> None:
        """Record when the prompt placed last will get its first event."""
        lateness_ms = first_event_ms - self._expected_ms
        self._sent[engine].append(
            _SentPrompt(first_event_ms, prefill_ms, lateness_ms)
        )

    def _remove_started(self, engine: int, now_ms: float) -> None:
        waiting = []
        for prompt in self._sent[engine]:
            if prompt.first_event_ms > now_ms:
                waiting.append(prompt)
                continue
            if self._use_lateness:
                at_s = prompt.first_event_ms / 1000
                self._states[engine].record_lateness(prompt.lateness_ms, at_s)
        self._sent[engine][:] = waiting


def simulate(
    engines: int,
    routers: int,
    load: float,
    refuse_late: bool,
    use_lateness: bool = True,
    bound_of: int | None = None,
) -> float:
    """Return the prefill of prompts answered in time, per engine time.

    ``bound_of``: the routers by which the bound on waiting prompts is chosen.
    """
    random = Random(7)
    pool = [_Engine() for _ in range(engines)]
    policy = LoadPolicy()
    if not refuse_late:
        policy = LoadPolicy(max_in_flight=10**6, max_waiting=10**6)
    bounds = send_bounds(bound_of or routers, None, policy)
    fleet = []
    for _ in range(routers):
        fleet.append(_Router(engines, policy, use_lateness, bounds))
    gap_ms = MEAN_PREFILL_MS / (engines * load)
    now_ms = 0.0
    in_time_ms = 0.0
    while now_ms < SECONDS * 1000:
        now_ms += random.expovariate(1.0 / gap_ms)
        prefill_ms = min(200.0, random.expovariate(1.0 / MEAN_PREFILL_MS))
        router = random.choice(fleet)
        left_ms = LATENCY_TARGET_MS * 0.8 if refuse_late else NO_LIMIT_MS
        chosen = router.place(now_ms, prefill_ms, left_ms)
        if chosen is None:
            continue
        first_event_ms = pool[chosen].prefill(now_ms, prefill_ms)
        router.record_sent(chosen, first_event_ms, prefill_ms)
        if first_event_ms - now_ms <= LATENCY_TARGET_MS:
            in_time_ms += prefill_ms
    return in_time_ms / (SECONDS * 1000 * engines)


@given(
    '{engines:d} engines and {routers:d} routers that see only their own load'
)
def step_fleet(context: Context, engines: int, routers: int) -> None:
    """Set the sizes."""
    context.sizes = (engines, routers)


@when(
    'prompts need {load:f} times the prefill capacity of the engines'
    ' for 20 seconds'
)
def step_simulate(context: Context, load: float) -> None:
    """Simulate the load with and without refusals."""
    engines, routers = context.sizes
    context.load = load
    context.in_time = simulate(engines, routers, load, refuse_late=True)
    context.in_time_unlimited = simulate(
        engines, routers, load, refuse_late=False
    )


@then('at least {factor:f} times as much as without recorded lateness')
def step_without_lateness(context: Context, factor: float) -> None:
    """Simulate the load without recorded lateness."""
    engines, routers = context.sizes
    without = simulate(
        engines, routers, context.load, True, use_lateness=False
    )
    assert context.in_time >= factor * without, (context.in_time, without)


@then('at least {percent:d} percent of the capacity is answered in time')
def step_in_time(context: Context, percent: int) -> None:
    """Compare with engines that prefill all the time."""
    assert context.in_time * 100 >= percent, context.in_time


@then(
    'at least {part:f} times as much is answered in time as with the bound of'
    ' many'
)
def step_bound_of_many(context: Context, part: float) -> None:
    """Simulate the load with the bound on waiting prompts of many routers."""
    engines, routers = context.sizes
    other = simulate(engines, routers, context.load, True, bound_of=MANY)
    assert context.in_time >= part * other, (context.in_time, other)


@then('more than twice as much as when nothing is refused')
def step_twice(context: Context) -> None:
    """Compare with sending all prompts."""
    assert context.in_time > 2 * context.in_time_unlimited, (
        context.in_time,
        context.in_time_unlimited,
    )


@given('an engine with {busy_ms:d} ms of queued prefill')
def step_busy(context: Context, busy_ms: int) -> None:
    """Set one busy engine."""
    context.busy_ms = float(busy_ms)


@when(
    'a prompt with {prefill_ms:d} ms of prefill needs its first event'
    ' within {left_ms:d} ms'
)
def step_wants(context: Context, prefill_ms: int, left_ms: int) -> None:
    """Place it."""
    view = EngineView('a', True, context.busy_ms, float(prefill_ms), 0, 0)
    context.placed = place_prompt([view], float(left_ms), LoadPolicy())


@then('it is refused with capacity after at least {retry_after_ms:d} ms')
def step_room(context: Context, retry_after_ms: int) -> None:
    """Check the refusal."""
    assert isinstance(context.placed, NoCapacity), context.placed
    assert context.placed.retry_after_ms >= retry_after_ms, context.placed


@given('an engine in the own zone that is free after {own:d} ms')
def step_own(context: Context, own: int) -> None:
    """Add the engine in the router's zone."""
    context.views = [EngineView('own', True, float(own), 10.0, 0, 0)]


@given('one in another zone that is free after {other:d} ms')
def step_other(context: Context, other: int) -> None:
    """Add the engine in another zone."""
    context.views.append(EngineView('other', False, float(other), 10.0, 0, 0))


@when('a prompt is placed')
def step_place(context: Context) -> None:
    """Place a prompt."""
    context.placed = place_prompt(context.views, 400.0, LoadPolicy())


@then('it goes to the {chosen} zone')
def step_zone(context: Context, chosen: str) -> None:
    """Check the choice."""
    assert context.placed.upstream_id == chosen, context.placed


def _state() -> UpstreamState:
    return UpstreamState(
        Upstream('up', 'models', '127.0.0.1:1', 'east', 8, False, {})
    )


@given(
    'an engine at which {count:d} less urgent prompts of'
    ' {prefill_ms:d} ms are queued'
)
def step_waiting(context: Context, count: int, prefill_ms: int) -> None:
    """Record the prompts as sent."""
    context.state = _state()
    for _ in range(count):
        context.state.open_request(float(prefill_ms), 5, 0.0)


@then('an urgent prompt expects to wait less than {max_ms:d} ms')
def step_urgent(context: Context, max_ms: int) -> None:
    """Check the prefill that precedes it."""
    assert context.state.queued_prefill_ms(3, TOKENS_PER_MS) < max_ms


@then('a less urgent one expects to wait {wait_ms:d} ms')
def step_less_urgent(context: Context, wait_ms: int) -> None:
    """Check the prefill that precedes it."""
    assert context.state.queued_prefill_ms(5, TOKENS_PER_MS) == wait_ms


@given(
    'an upstream that has sent no data for {wait_ms:d} ms while a'
    ' request waits'
)
def step_no_data(context: Context, wait_ms: int) -> None:
    """Send a request and advance the time."""
    context.state = _state()
    context.state.open_request(10.0, 5, 100.0)
    context.now_s = 100.0 + wait_ms / 1000


@then('it counts as silent')
def step_silent(context: Context) -> None:
    """Check that the upstream is silent."""
    assert context.state.is_silent(context.now_s)


@then('it does not once data is received from it')
def step_data(context: Context) -> None:
    """Receive data and check again."""
    context.state.data_received(context.now_s)
    assert not context.state.is_silent(context.now_s)


@given('{count:d} engines with version 1')
def step_engines_at(context: Context, count: int) -> None:
    """Add engines, the last with the fewest requests."""
    context.engines = []
    for number in range(count):
        context.engines.append(
            EngineWeights(f'e{number}', 1, float('inf'), count - number)
        )


@given('{count:d} engines with version 1 of which {late:d} load later')
def step_engines_later(context: Context, count: int, late: int) -> None:
    """Schedule the busiest engines to load later, the others now."""
    step_engines_at(context, count)
    for number in range(late):
        engine = context.engines[number]
        context.engines[number] = replace(engine, due_in_s=3.0)


@when('version {version:d} is released')
def step_version(context: Context, version: int) -> None:
    """Compute which engines to order."""
    context.version = version
    context.chosen = next_loads(context.engines, version, LoadPolicy())


@then('{count:d} of them are ordered, the least busy first')
def step_least_busy(context: Context, count: int) -> None:
    """Check the choice."""
    expected = []
    for engine in reversed(context.engines):
        expected.append(engine.upstream_id)
    assert list(context.chosen) == expected[:count], context.chosen


@then('no other is ordered until one of them has loaded it')
def step_no_further(context: Context) -> None:
    """Compute again while the first ones load, then when one has loaded."""
    loading = []
    for engine in context.engines:
        if engine.upstream_id in context.chosen:
            engine = EngineWeights(engine.upstream_id, 1, 0.2, 0)
        loading.append(engine)
    assert not next_loads(loading, context.version, LoadPolicy())
    loading[-1] = EngineWeights('done', context.version, 0.5, 0)
    chosen = next_loads(loading, context.version, LoadPolicy())
    assert len(chosen) == 1


@then('every order is for version {version:d}')
def step_only_last(context: Context, version: int) -> None:
    """Check that no engine is ordered once it has the version."""
    assert context.chosen
    loaded = []
    for engine in context.engines:
        loaded.append(
            EngineWeights(engine.upstream_id, version, float('inf'), 0)
        )
    assert not next_loads(loaded, version, LoadPolicy())
