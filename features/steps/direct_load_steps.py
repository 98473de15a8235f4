"""Check a direct router's decisions on generated load."""

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
from lacewing_daemon.direct._loading import EngineWeights
from lacewing_daemon.direct._loading import next_loads
from lacewing_daemon.direct._policy import LoadPolicy
from lacewing_daemon.direct._upstream_state import UpstreamState

SECONDS = 20
WANTED_MS = 400.0
MEAN_READ_MS = 50.0
NO_LIMIT_MS = 1e9
SPEED = LoadPolicy().prefill_tokens_per_ms


@dataclass
class _Engine:
    """Read prompts one after the other; remember who sent what."""

    free_ms: float = 0.0

    def read(self, now_ms: float, read_ms: float) -> float:
        """Add a prompt; return when its first event comes."""
        self.free_ms = max(self.free_ms, now_ms) + read_ms
        return self.free_ms


@dataclass(frozen=True)
class _Sent:
    """Hold a prompt sent; ``late_ms`` beyond what was counted."""

    first_ms: float
    read_ms: float
    late_ms: float


class _Router:
    """Place prompts by the product's decision, by own load only.

    ``learning``: also by how late its own first events came of late.
    """

    def __init__(
        self, engines: int, policy: LoadPolicy, learning: bool
    ) -> None:
        self._policy = policy
        self._learning = learning
        self._sent: list[list[_Sent]] = []
        self._states: list[UpstreamState] = []
        self._counted_ms = 0.0
        for _ in range(engines):
            self._sent.append([])
            self._states.append(_state())

    def place(
        self, now_ms: float, read_ms: float, left_ms: float
    ) -> int | None:
        """Return the engine chosen, None when refused."""
        views = []
        excess = []
        for number, sent in enumerate(self._sent):
            self._learn(number, now_ms)
            waiting_ms = sum(one.read_ms for one in sent)
            excess.append(self._states[number].lateness_ms(now_ms / 1000))
            views.append(
                EngineView(
                    str(number),
                    True,
                    waiting_ms + excess[-1],
                    read_ms,
                    len(sent),
                    len(sent),
                )
            )
        placed = place_prompt(views, left_ms, self._policy)
        if isinstance(placed, NoCapacity):
            return None
        chosen = int(placed.upstream_id)
        self._counted_ms = now_ms + placed.first_event_ms - excess[chosen]
        return chosen

    def note(self, engine: int, first_ms: float, read_ms: float) -> None:
        """Note when the prompt placed last will get its first event."""
        late_ms = first_ms - self._counted_ms
        self._sent[engine].append(_Sent(first_ms, read_ms, late_ms))

    def _learn(self, engine: int, now_ms: float) -> None:
        open_ones = []
        for one in self._sent[engine]:
            if one.first_ms > now_ms:
                open_ones.append(one)
                continue
            if self._learning:
                at_s = one.first_ms / 1000
                self._states[engine].record_lateness(one.late_ms, at_s)
        self._sent[engine][:] = open_ones


def replay(
    engines: int,
    routers: int,
    load: float,
    refusing: bool,
    learning: bool = True,
) -> float:
    """Return the reading in ms of prompts answered in time, per engine ms."""
    random = Random(7)
    pool = [_Engine() for _ in range(engines)]
    policy = LoadPolicy()
    if not refusing:
        policy = LoadPolicy(max_in_flight=10**6, max_waiting=10**6)
    fleet = []
    for _ in range(routers):
        fleet.append(_Router(engines, policy, learning))
    gap_ms = MEAN_READ_MS / (engines * load)
    now_ms = 0.0
    in_time_ms = 0.0
    while now_ms < SECONDS * 1000:
        now_ms += random.expovariate(1.0 / gap_ms)
        read_ms = min(200.0, random.expovariate(1.0 / MEAN_READ_MS))
        router = random.choice(fleet)
        left_ms = WANTED_MS * 0.8 if refusing else NO_LIMIT_MS
        chosen = router.place(now_ms, read_ms, left_ms)
        if chosen is None:
            continue
        first_ms = pool[chosen].read(now_ms, read_ms)
        router.note(chosen, first_ms, read_ms)
        if first_ms - now_ms <= WANTED_MS:
            in_time_ms += read_ms
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
def step_overload(context: Context, load: float) -> None:
    """Replay the load with and without refusing."""
    engines, routers = context.sizes
    context.load = load
    context.kept = replay(engines, routers, load, refusing=True)
    context.fcfs = replay(engines, routers, load, refusing=False)


@then('at least {factor:f} times as much as without recorded lateness')
def step_learning(context: Context, factor: float) -> None:
    """Replay it by own load alone."""
    engines, routers = context.sizes
    alone = replay(engines, routers, context.load, True, learning=False)
    assert context.kept >= factor * alone, (context.kept, alone)


@then('at least {percent:d} percent of the capacity is answered in time')
def step_kept(context: Context, percent: int) -> None:
    """Compare with engines that read all the time."""
    assert context.kept * 100 >= percent, context.kept


@then('more than twice as much as when nothing is refused')
def step_twice(context: Context) -> None:
    """Compare with sending everything."""
    assert context.kept > 2 * context.fcfs, (context.kept, context.fcfs)


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
    """Set the near engine."""
    context.views = [EngineView('own', True, float(own), 10.0, 0, 0)]


@given('one in another zone that is free after {other:d} ms')
def step_other(context: Context, other: int) -> None:
    """Set the far engine."""
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
    """Count the prompts as sent."""
    context.state = _state()
    for _ in range(count):
        context.state.open_request(float(prefill_ms), 5, 0.0)


@then('an urgent prompt expects to wait less than {max_ms:d} ms')
def step_urgent(context: Context, max_ms: int) -> None:
    """Check what goes before it."""
    assert context.state.queued_prefill_ms(3, SPEED) < max_ms


@then('a less urgent one expects to wait {wait_ms:d} ms')
def step_less_urgent(context: Context, wait_ms: int) -> None:
    """Check what goes before it."""
    assert context.state.queued_prefill_ms(5, SPEED) == wait_ms


@given(
    'an upstream that has sent no data for {wait_ms:d} ms while a'
    ' request waits'
)
def step_unheard(context: Context, wait_ms: int) -> None:
    """Send a request and let the time pass."""
    context.state = _state()
    context.state.open_request(10.0, 5, 100.0)
    context.now_s = 100.0 + wait_ms / 1000


@then('it counts as silent')
def step_silent(context: Context) -> None:
    """Check the verdict."""
    assert context.state.is_silent(context.now_s)


@then('it does not once data is received from it')
def step_heard(context: Context) -> None:
    """Hear something and check again."""
    context.state.data_received(context.now_s)
    assert not context.state.is_silent(context.now_s)


@given('{count:d} engines with version 1')
def step_engines_at(context: Context, count: int) -> None:
    """Set engines of growing load."""
    context.engines = []
    for number in range(count):
        context.engines.append(
            EngineWeights(f'e{number}', 1, float('inf'), count - number)
        )


@given('{count:d} engines with version 1 of which {late:d} load later')
def step_engines_later(context: Context, count: int, late: int) -> None:
    """Let the idlest engines load now, the others in a while."""
    step_engines_at(context, count)
    for number in range(late):
        engine = context.engines[number]
        context.engines[number] = replace(engine, due_in_s=3.0)


@when('version {version:d} is released')
def step_version(context: Context, version: int) -> None:
    """Ask which engines to order."""
    context.version = version
    context.chosen = next_loads(context.engines, version, LoadPolicy())


@then('{count:d} of them are ordered, the least busy first')
def step_idlest(context: Context, count: int) -> None:
    """Check the choice."""
    expected = []
    for engine in reversed(context.engines):
        expected.append(engine.upstream_id)
    assert list(context.chosen) == expected[:count], context.chosen


@then('no other is ordered until one of them has loaded it')
def step_no_further(context: Context) -> None:
    """Ask again while the first ones load, then when one is done."""
    under_way = []
    for engine in context.engines:
        if engine.upstream_id in context.chosen:
            engine = EngineWeights(engine.upstream_id, 1, 0.2, 0)
        under_way.append(engine)
    assert not next_loads(under_way, context.version, LoadPolicy())
    under_way[-1] = EngineWeights('done', context.version, 0.5, 0)
    chosen = next_loads(under_way, context.version, LoadPolicy())
    assert len(chosen) == 1


@then('every order is for version {version:d}')
def step_only_last(context: Context, version: int) -> None:
    """Check that engines that have it are left alone, whatever they had."""
    assert context.chosen
    at_last = []
    for engine in context.engines:
        at_last.append(
            EngineWeights(engine.upstream_id, version, float('inf'), 0)
        )
    assert not next_loads(at_last, version, LoadPolicy())
