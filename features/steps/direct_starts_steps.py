"""Check what a router keeps of an upstream that starts again."""

import threading
import time
from types import SimpleNamespace
from typing import Any
from uuid import uuid4

from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._send import MOVED_UPSTREAM_PAUSE_S
from lacewing_daemon.direct._send import Send
from lacewing_daemon.direct._silence_detector import SilenceDetector
from lacewing_daemon.direct._target import Target
from lacewing_platform import PlatformWire
from lacewing_platform_testing import Behaviour
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import PREFIX
from support.direct_bench import sleep
from tornado.httputil import HTTPHeaders

# Routers gather changes of entries for 0.2 s.
KNOWN_S = 0.5
ASKED = 12
MUTE_S = 0.22


@when('the engines take no more orders and start again with older weights')
def step_older_weights(context: Context) -> None:
    """Start every engine again with the weights that it had at first."""
    bench = direct_bench(context)
    for name in bench.upstreams:
        bench.register(name)
    bench.run(sleep(KNOWN_S))
    for name, upstream in bench.upstreams.items():
        upstream.ignores_orders = True
        upstream.weights[MODEL] = 1
        bench.start_again(name)


@then('soon prompts are answered with the older weights')
def step_older_asked(context: Context) -> None:
    """Ask until every engine was asked for the version it has."""
    bench = direct_bench(context)

    def all_asked() -> bool:
        bench.ask_model(**{PREFIX + 'Prompt-Prefix': f'{uuid4().hex}:300'})
        asked = []
        for upstream in bench.upstreams.values():
            if upstream.received:
                headers = upstream.received[-1].headers
                asked.append(headers[PREFIX + 'Expected-Version'])
        return asked == ['1'] * len(bench.upstreams)

    bench.until(all_asked, 'prompts for the older weights')
    assert bench.ask_model().status == 200, bench.answer


@when('upstream "{name}" starts again')
def step_start_again(context: Context, name: str) -> None:
    """Start it anew under its id, and wait until that is known."""
    context.started = direct_bench(context).start_again(name)
    direct_bench(context).run(sleep(KNOWN_S))


@then('soon it receives requests again')
def step_again(context: Context) -> None:
    """Ask until it gets a request."""
    bench = direct_bench(context)
    before = len(context.started.received)

    def received() -> bool:
        bench.ask()
        return len(context.started.received) > before

    bench.until(received, 'a request at the upstream that started again')


@when('the start before says that it is leaving')
def step_late_word(context: Context) -> None:
    """Write the entry of the start before, and wait until it is read."""
    bench = direct_bench(context)
    upstream = context.started
    entry = upstream.store_entry('draining')
    entry['born'] = upstream.born - 1
    name = upstream.upstream_id
    bench.on_loop(lambda: bench.store.put('servers', name, entry))
    bench.run(sleep(KNOWN_S))


@when(
    '"{name}" starts again and the start before says that it has version'
    ' {version:d}'
)
def step_late_weights(context: Context, name: str, version: int) -> None:
    """Write an entry of the start before, and wait until it is read."""
    bench = direct_bench(context)
    bench.start_again(name)
    bench.run(sleep(KNOWN_S))
    upstream = bench.upstreams[name]
    entry = upstream.store_entry()
    assert upstream.born is not None
    entry['born'] = upstream.born - 1
    entry['Models'] = [{'Name': MODEL, 'Version': version, 'Adapters': []}]
    bench.on_loop(lambda: bench.store.put('servers', name, entry))
    bench.run(sleep(KNOWN_S))


@then('"{name}" is known with version {version:d}')
def step_known_with(context: Context, name: str, version: int) -> None:
    """Look at what the router knows."""
    knowledge = direct_bench(context).routers[0]._fleet.cluster_state
    state = knowledge.upstream(name)
    assert state is not None
    assert state.weights(MODEL) == version, state.weights(MODEL)


@when('the upstreams start again at other addresses')
def step_elsewhere(context: Context) -> None:
    """Move them; the old connections stay open and say nothing."""
    bench = direct_bench(context)
    for name, upstream in list(bench.upstreams.items()):
        upstream.always = Behaviour.MUTE
        assert upstream.born is not None
        bench.add_upstream(name, upstream.service, upstream.born + 1000)
        context.resources.callback(bench.on_loop, upstream.server.close)
    bench.run(sleep(KNOWN_S))


@when('an upstream starts again while it runs a request for {path}')
def step_under_way(context: Context, path: str) -> None:
    """Start the upstream anew once it runs; then let all answer."""
    bench = direct_bench(context)
    method = 'POST' if path.startswith('/certificates') else 'GET'
    asking = threading.Thread(target=lambda: bench.ask(path, method=method))
    asking.start()
    bench.until(lambda: bool(bench.ran()), 'a run')
    # Looked at once: the router may repeat the request at another one while
    # the first starts again.
    running = [name for name, one in bench.upstreams.items() if one.ran]
    for name in running:
        bench.start_again(name)
    for upstream in bench.upstreams.values():
        bench.on_loop(upstream.hold.set)
    asking.join()


@then('the request gets {status:d} after {runs:d} runs')
def step_runs(context: Context, status: int, runs: int) -> None:
    """Count what was run."""
    bench = direct_bench(context)
    bench.run(sleep(KNOWN_S))
    assert bench.answer.status == status, bench.answer
    assert len(bench.ran()) == runs, bench.ran()
    assert len(set(bench.ran())) == 1, bench.ran()


@when('another upstream answers at its address')
def step_another(context: Context) -> None:
    """Hand the head of its refusal to a request's send."""
    head = PlatformWire().read_reply(
        421,
        HTTPHeaders(
            {
                PREFIX + 'Instance-Id': 'eng-2',
                PREFIX + 'Weight-Versions': '9',
                PREFIX + 'Server-Load': '4,4,4',
            }
        ),
    )
    fleet: Any = SimpleNamespace(
        cluster_state=context.knowledge,
        silence_detector=SilenceDetector(MUTE_S),
        crash_guard=None,
    )
    route = SimpleNamespace(is_streaming=True, can_retry=True)
    admitted: Any = SimpleNamespace(route=route)
    request: Any = SimpleNamespace(prompt=SimpleNamespace(model=MODEL))
    nothing: Any = None
    send = Send(
        fleet,
        PlatformWire(),
        nothing,
        request,
        admitted,
        Target(context.before, 0.0),
        lambda _others: True,
        'a fingerprint',
    )
    send._learn(head)


@then('it is left alone for a while and nothing is learnt of it')
def step_left_alone(context: Context) -> None:
    """Look whether it is used, and what is known of it."""
    state = context.before
    now_s = time.monotonic()
    assert not state.is_usable(now_s + MOVED_UPSTREAM_PAUSE_S / 2)
    assert state.is_usable(now_s + MOVED_UPSTREAM_PAUSE_S)
    assert state.weights(MODEL) == 3
    assert state.other_requests(now_s) == 0
    assert context.knowledge.current_release(MODEL).version == 3


@then('it goes on receiving requests')
def step_goes_on(context: Context) -> None:
    """Ask several times; the longest unused upstream gets the next."""
    bench = direct_bench(context)
    before = len(context.started.received)
    for _ in range(ASKED):
        bench.ask()
    assert len(context.started.received) > before
