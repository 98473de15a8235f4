"""Check what a router keeps of an upstream that starts again."""

from behave import then
from behave import when
from behave.runner import Context
from support.direct_bench import direct_bench
from support.direct_bench import MODEL
from support.direct_bench import PREFIX
from support.direct_bench import sleep

# Routers gather changes of entries for 0.2 s.
KNOWN_S = 0.5
ASKED = 12


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
    """Ask until a prompt is answered, and look what was asked for."""
    bench = direct_bench(context)
    bench.until(lambda: bench.ask_model().status == 200, 'an answer')
    told = bench.received()[-1].headers[PREFIX + 'Expected-Version']
    assert told == '1', told


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
    entry = upstream.entry('draining')
    entry['born'] = upstream.born - 1
    name = upstream.upstream_id
    bench.on_loop(lambda: bench.store.put('servers', name, entry))
    bench.run(sleep(KNOWN_S))


@then('it goes on receiving requests')
def step_goes_on(context: Context) -> None:
    """Ask several times; the longest unused upstream gets the next."""
    bench = direct_bench(context)
    before = len(context.started.received)
    for _ in range(ASKED):
        bench.ask()
    assert len(context.started.received) > before
