"""Check what the pages of incidents list as remaining."""

from behave import when
from behave.runner import Context
from steps.out_of_step_steps import take_up
from support.direct_bench import direct_bench


@when('"{name}" ends, and its entry lapses')
def step_lapses(context: Context, name: str) -> None:
    """Crash an upstream and remove its entry; no router runs."""
    bench = direct_bench(context)
    bench.on_loop(bench.upstreams[name].crash)
    bench.on_loop(lambda: bench.store.remove('servers', name))


@when('the streams are taken up at the new router')
def step_taken_up(context: Context) -> None:
    """Ask the last router that started for the rest of each stream."""
    bench = direct_bench(context)
    at = len(bench.routers) - 1
    context.answers = []
    for number, stream in enumerate(context.streams):
        context.answers.append(take_up(bench, stream, number, at))
