"""Check what a router keeps of an upstream that restarts."""

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
from lacewing_daemon.direct.crashes._fingerprint import RequestSubjects
from lacewing_platform import PlatformWire
from lacewing_platform_testing import Behaviour
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import PREFIX
from support.direct_bench import sleep
from tornado.httputil import HTTPHeaders

# Routers batch changes of entries for 0.2 s.
PROPAGATION_S = 0.5
REQUEST_COUNT = 12
MIN_SILENCE_S = 0.22


@when('the engines ignore further orders and restart with older weights')
def step_older_weights(context: Context) -> None:
    """Restart every engine with its initial weights."""
    bench = direct_bench(context)
    for name in bench.upstreams:
        bench.register(name)
    bench.run(sleep(PROPAGATION_S))
    for name, upstream in bench.upstreams.items():
        upstream.ignores_orders = True
        upstream.weights[MODEL] = 1
        bench.start_again(name)


@then('soon prompts are answered with the older weights')
def step_older_weights_used(context: Context) -> None:
    """Send prompts until every engine was asked for its own version."""
    bench = direct_bench(context)

    def all_sent_version() -> bool:
        bench.ask_model(**{PREFIX + 'Prompt-Prefix': f'{uuid4().hex}:300'})
        versions = []
        for upstream in bench.upstreams.values():
            if upstream.received:
                headers = upstream.received[-1].headers
                versions.append(headers[PREFIX + 'Expected-Version'])
        return versions == ['1'] * len(bench.upstreams)

    bench.until(all_sent_version, 'prompts for the older weights')
    assert bench.ask_model().status == 200, bench.answer


@when('upstream "{name}" restarts')
def step_restart(context: Context, name: str) -> None:
    """Restart it under its id and wait until routers have its entry."""
    context.restarted = direct_bench(context).start_again(name)
    direct_bench(context).run(sleep(PROPAGATION_S))


@then('soon it receives requests again')
def step_receives_again(context: Context) -> None:
    """Send requests until the upstream receives one."""
    bench = direct_bench(context)
    before = len(context.restarted.received)

    def received() -> bool:
        bench.ask()
        return len(context.restarted.received) > before

    bench.until(received, 'a request at the restarted upstream')


@when('the previous incarnation reports that it is leaving')
def step_late_leaving(context: Context) -> None:
    """Write an entry of the previous incarnation; wait until it is read."""
    bench = direct_bench(context)
    upstream = context.restarted
    entry = upstream.store_entry('draining')
    entry['born'] = upstream.born - 1
    name = upstream.upstream_id
    bench.on_loop(lambda: bench.store.put('servers', name, entry))
    bench.run(sleep(PROPAGATION_S))


@when(
    '"{name}" restarts and its previous incarnation reports version'
    ' {version:d}'
)
def step_late_weights(context: Context, name: str, version: int) -> None:
    """Write an entry of the previous incarnation; wait until it is read."""
    bench = direct_bench(context)
    bench.start_again(name)
    bench.run(sleep(PROPAGATION_S))
    upstream = bench.upstreams[name]
    entry = upstream.store_entry()
    assert upstream.born is not None
    entry['born'] = upstream.born - 1
    entry['Models'] = [{'Name': MODEL, 'Version': version, 'Adapters': []}]
    bench.on_loop(lambda: bench.store.put('servers', name, entry))
    bench.run(sleep(PROPAGATION_S))


@then('"{name}" is known with version {version:d}')
def step_known_version(context: Context, name: str, version: int) -> None:
    """Check the version in the cluster state of the router."""
    cluster_state = direct_bench(context).routers[0]._fleet.cluster_state
    state = cluster_state.upstream(name)
    assert state is not None
    assert state.weights(MODEL) == version, state.weights(MODEL)


@when('the upstreams restart at other addresses')
def step_other_addresses(context: Context) -> None:
    """Move them; the old connections stay open and silent."""
    bench = direct_bench(context)
    for name, upstream in list(bench.upstreams.items()):
        upstream.always = Behaviour.MUTE
        assert upstream.born is not None
        bench.add_upstream(name, upstream.service, upstream.born + 1000)
        context.resources.callback(bench.on_loop, upstream.server.close)
    bench.run(sleep(PROPAGATION_S))


@when('an upstream restarts while it runs a request for {path}')
def step_request_in_progress(context: Context, path: str) -> None:
    """Restart the upstream once it runs; then let all upstreams answer."""
    bench = direct_bench(context)
    method = 'POST' if path.startswith('/certificates') else 'GET'
    caller = threading.Thread(target=lambda: bench.ask(path, method=method))
    caller.start()
    bench.until(lambda: bool(bench.ran()), 'a run')
    # Listed only once: the router may retry the request at another upstream
    # while the first one restarts.
    running = [name for name, one in bench.upstreams.items() if one.ran]
    for name in running:
        bench.start_again(name)
    for upstream in bench.upstreams.values():
        bench.on_loop(upstream.hold.set)
    caller.join()


@then('the request gets {status:d} after {runs:d} runs')
def step_runs(context: Context, status: int, runs: int) -> None:
    """Check the status and count the runs."""
    bench = direct_bench(context)
    bench.run(sleep(PROPAGATION_S))
    assert bench.answer.status == status, bench.answer
    assert len(bench.ran()) == runs, bench.ran()
    assert len(set(bench.ran())) == 1, bench.ran()


@when('another upstream answers at its address')
def step_other_upstream(context: Context) -> None:
    """Pass the head of its refusal to the Send of a request."""
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
        cluster_state=context.cluster_state,
        silence_detector=SilenceDetector(MIN_SILENCE_S),
        crash_guard=None,
    )
    route = SimpleNamespace(is_streaming=True, can_retry=True)
    admitted: Any = SimpleNamespace(route=route)
    request: Any = SimpleNamespace(prompt=SimpleNamespace(model=MODEL))
    unused: Any = None
    send = Send(
        fleet,
        PlatformWire(),
        unused,
        request,
        admitted,
        Target(context.previous_state, 0.0),
        lambda _others: True,
        RequestSubjects('a fingerprint'),
    )
    send._learn(head)


@then('it is excluded for a while and its state is unchanged')
def step_excluded(context: Context) -> None:
    """Check whether it is usable, and its recorded state."""
    state = context.previous_state
    now_s = time.monotonic()
    assert not state.is_usable(now_s + MOVED_UPSTREAM_PAUSE_S / 2)
    assert state.is_usable(now_s + MOVED_UPSTREAM_PAUSE_S)
    assert state.weights(MODEL) == 3
    assert state.other_requests(now_s) == 0
    assert context.cluster_state.current_release(MODEL).version == 3


@then('it continues to receive requests')
def step_still_receives(context: Context) -> None:
    """Send several requests; each goes to the longest idle upstream."""
    bench = direct_bench(context)
    before = len(context.restarted.received)
    for _ in range(REQUEST_COUNT):
        bench.ask()
    assert len(context.restarted.received) > before
