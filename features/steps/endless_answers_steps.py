"""Check a router beside processes that answer without end."""

import threading
import time
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._read_bounds import MAX_HELD_BYTES
from lacewing_platform_testing import Endless
from lacewing_platform_testing import EndlessAnswers
from lacewing_platform_testing import FakeUpstream
from lacewing_platform_testing import StoreMode
from support.direct_bench import Answer
from support.direct_bench import direct_bench
from support.direct_bench import MODEL

REQUESTS_PER_S = 15
# Callers abandon a stream of this target after a gap of 2 s.
TARGET_MS = 400
MIB = 1024 * 1024
MAX_EXTRA_BYTES = 16 * MIB
MAX_EXTRA_PROCESSOR = 0.5
# Processor time is bounded over this span. Most of the extra falls into its
# first seconds, before the engine is set aside.
SPAN_S = 25.0
# Requests have a time limit of 3 s.
AT_ONCE_S = 1.0
SHORT_S = 1.0
WEIGHTS_EVERY_S = 0.7
ONCE_EVERY = 5


@dataclass(frozen=True)
class Load:
    """Hold how requests fared during a load."""

    answers: tuple[Answer, ...]
    lasts_s: float
    slowest_s: float
    processor_s: float


@given('{count:d} engines and a router process')
def step_fleet(context: Context, count: int) -> None:
    """Start them, the router with a log of its own."""
    bench = direct_bench(context)
    for number in range(1, count + 1):
        bench.add_upstream(f'eng-{number}', 'models')
    routes = []
    for route in bench.config['Routes']:
        routes.append({**route, 'TargetLatencyMs': TARGET_MS})
    bench.configure(Routes=routes)
    bench.add_upstream('reg-1', 'registry')
    folder = context.resources.enter_context(TemporaryDirectory())
    bench.start_process(Path(folder))


@given('{count:d} engines and a router process that other routers call')
def step_called_fleet(context: Context, count: int) -> None:
    """Start them, the router with an address for others."""
    direct_bench(context).routers_call = True
    step_fleet(context, count)


@given('a calm load for {lasts_s:g} s')
def step_calm(context: Context, lasts_s: float) -> None:
    """Load the router and keep what that takes."""
    load_router(context, 0.5)
    context.calm = load_router(context, lasts_s)
    _keep_peak(context)


@given('a calm load for {lasts_s:g} s while weights are named')
def step_calm_weights(context: Context, lasts_s: float) -> None:
    """Load the router and keep what that takes, orders included."""
    context.version = 1
    load_router(context, 0.5)
    context.calm = _load_while_naming(context, lasts_s)
    _keep_peak(context)


def _keep_peak(context: Context) -> None:
    process = direct_bench(context).process
    assert process is not None
    context.calm_peak = process.peak_bytes


@when(
    'one engine sends {what} without end, {pace}, under that load for'
    ' {lasts_s:g} s'
)
def step_endless(
    context: Context, what: str, pace: str, lasts_s: float
) -> None:
    """Have the first engine answer all requests so."""
    answers = EndlessAnswers(Endless(what), pace == 'slowly')
    _first_engine(context).endless[''] = answers
    context.load = load_router(context, lasts_s)
    assert answers.count > 0


@when(
    'one engine answers "{path}" without end, {pace}, under that load for'
    ' {lasts_s:g} s'
)
def step_endless_call(
    context: Context, path: str, pace: str, lasts_s: float
) -> None:
    """Have the first engine answer one call so, while weights are named."""
    answers = EndlessAnswers(Endless.DOCUMENT, pace == 'slowly')
    _first_engine(context).endless[path] = answers
    context.load = _load_while_naming(context, lasts_s)
    context.endless = answers
    assert answers.count > 0


@when('the store answers without end under that load for {lasts_s:g} s')
def step_endless_store(context: Context, lasts_s: float) -> None:
    """Have all calls to the store be answered so, and its watches end."""
    store = direct_bench(context).store
    store.mode = StoreMode.ENDLESS
    direct_bench(context).on_loop(store.server.reset_all)
    context.load = load_router(context, lasts_s)
    assert store.endless.count > 0


@when('every engine sends {what} without end and a stream may run once')
def step_every_engine(context: Context, what: str) -> None:
    """Send one such stream."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.endless[''] = EndlessAnswers(Endless(what))
    start_s = time.monotonic()
    context.once = bench.ask_model('/talk/1')
    context.took_s = time.monotonic() - start_s


def _first_engine(context: Context) -> FakeUpstream:
    return direct_bench(context).upstreams['eng-1']


def _load_while_naming(context: Context, lasts_s: float) -> Load:
    lasts_s = _length_s(context, lasts_s)
    naming = threading.Thread(target=_name_weights, args=(context, lasts_s))
    naming.start()
    load = load_router(context, lasts_s)
    naming.join()
    return load


def _name_weights(context: Context, lasts_s: float) -> None:
    bench = direct_bench(context)
    end_s = time.monotonic() + lasts_s - WEIGHTS_EVERY_S
    while time.monotonic() < end_s:
        context.version += 1
        entry = {'Model': MODEL, 'Version': context.version}
        bench.on_loop(lambda: bench.store.put('versions', MODEL, entry))
        time.sleep(WEIGHTS_EVERY_S)


def _length_s(context: Context, lasts_s: float) -> float:
    """Return how long a load lasts: some seconds, or ``-D lasts_s=25``."""
    if lasts_s < SHORT_S:
        return lasts_s
    return float(context.config.userdata.get('lasts_s', lasts_s))


def load_router(context: Context, lasts_s: float) -> Load:
    """Send requests at a constant rate and wait for all answers.

    Some are streams that may run once; their answers are left out.
    """
    lasts_s = _length_s(context, lasts_s)
    bench = direct_bench(context)
    answers: list[Answer] = []
    times_s: list[float] = []

    def ask(number: int) -> None:
        if number % ONCE_EVERY == 0:
            # Lost if the engine that answers without end gets it.
            bench.ask_model('/talk/1')
            return
        start_s = time.monotonic()
        answer = bench.ask() if number % 3 == 0 else bench.ask_model()
        times_s.append(time.monotonic() - start_s)
        answers.append(answer)

    assert bench.process is not None
    processor_s = bench.process.processor_s
    start_s = time.monotonic()
    threads = []
    for number in range(int(lasts_s * REQUESTS_PER_S)):
        due_s = start_s + number / REQUESTS_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))
        thread = threading.Thread(target=ask, args=(number,))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    processor_s = bench.process.processor_s - processor_s
    return Load(tuple(answers), lasts_s, max(times_s), processor_s)


@then('all requests are served')
def step_all_served(context: Context) -> None:
    """Check the statuses."""
    statuses = [answer.status for answer in context.load.answers]
    assert set(statuses) == {200}, statuses


@then('all requests are served, at most {late_s:g} s later than before')
def step_served(context: Context, late_s: float) -> None:
    """Compare the slowest answers."""
    step_all_served(context)
    limit_s = context.calm.slowest_s + late_s
    assert context.load.slowest_s <= limit_s, (context.load, context.calm)


@then('memory peaks at most 16 MiB above, processor time at most 1.5 times')
def step_costs(context: Context) -> None:
    """Compare memory and processor time with the calm load."""
    process = direct_bench(context).process
    assert process is not None
    extra = process.peak_bytes - context.calm_peak
    assert extra <= MAX_EXTRA_BYTES, f'{extra / MIB:.1f} MiB'
    calm, load = context.calm, context.load
    calm_share = calm.processor_s / calm.lasts_s
    extra_s = load.processor_s - calm_share * load.lasts_s
    limit_s = MAX_EXTRA_PROCESSOR * calm_share * max(SPAN_S, load.lasts_s)
    assert extra_s <= limit_s, (calm, load)


@then('no request that may run once ran twice')
def step_once(context: Context) -> None:
    """Check the runs of streams that can't be resumed."""
    runs = []
    for received in direct_bench(context).received():
        if received.path.startswith('/talk/'):
            runs.append(received.headers['X-Lacewingstack-Request-Id'])
    assert runs
    assert len(runs) == len(set(runs)), runs


@then('its caller is told at once that it may have run')
def step_told(context: Context) -> None:
    """Check the status and the time."""
    assert context.once.status in (0, 502), context.once
    assert context.took_s < AT_ONCE_S, context.took_s


@then('requests are served again once the store answers')
def step_served_again(context: Context) -> None:
    """Wait until the keys are confirmed again."""
    bench = direct_bench(context)
    bench.store.mode = StoreMode.CALM
    bench.until(lambda: bench.ask().status == 200, 'a served request')


@then('the other engines have the weights that were named')
def step_weights(context: Context) -> None:
    """Check the weights of all engines but the first."""
    bench = direct_bench(context)
    others = [bench.upstreams[f'eng-{number}'] for number in (2, 3, 4)]
    bench.until(
        lambda: all(
            other.weights[MODEL] == context.version for other in others
        ),
        f'version {context.version} at {[one.weights for one in others]}',
    )


@then('each of these answers was cut off after at most {most_s:g} s')
def step_cut(context: Context, most_s: float) -> None:
    """Check how long the engine could send one answer."""
    assert context.endless.longest_s <= most_s, context.endless


@given('upstreams whose answers have {size:d} bytes in {events:d} events')
def step_large(context: Context, size: int, events: int) -> None:
    """Have plain answers of at most their bound, and streams of any size."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.body = b'x' * min(size, MAX_HELD_BYTES)
        upstream.event_count = events
        upstream.event_padding = b'x' * (size // events)
        upstream.pause_s = 0.0


@when('a caller asks for a record and a stream')
def step_ask_large(context: Context) -> None:
    """Ask for a plain answer and for a stream."""
    bench = direct_bench(context)
    context.large = (bench.ask(), bench.ask_model())


@then('it gets both whole')
def step_whole(context: Context) -> None:
    """Compare the sizes, and the number of events."""
    upstream = _first_engine(context)
    record, stream = context.large
    assert (record.status, stream.status) == (200, 200), context.large
    assert record.body == upstream.body, len(record.body)
    events = stream.body.split(b'\n\n')[:-1]
    assert len(events) == upstream.event_count, len(events)
    for event in events:
        assert event.endswith(upstream.event_padding), len(event)


@given('a configuration of {size:d} bytes')
def step_large_configuration(context: Context, size: int) -> None:
    """Add teams with keys until the configuration has that size."""
    bench = direct_bench(context)
    teams = list(bench.config['Tenants'])
    count = size // len(msgspec.json.encode(_team(100000)))
    teams.extend(_team(number) for number in range(100000, 100000 + count))
    context.last_key = teams[-1]['ApiKeys'][0]
    bench.configure(Tenants=teams)


def _team(number: int) -> dict[str, Any]:
    return {
        'Name': f'team-{number}',
        'ApiKeys': [f'key-of-{number}'],
        'Isolated': False,
    }


@when('a caller of the last team in it asks for a record')
def step_ask_last(context: Context) -> None:
    """Ask until the configuration has arrived."""
    bench = direct_bench(context)
    bench.until(
        lambda: bench.ask(key=context.last_key).status != 401, 'the teams'
    )


@then('it is served')
def step_is_served(context: Context) -> None:
    """Check the last answer."""
    answer = direct_bench(context).answer
    assert answer.status == 200, answer
