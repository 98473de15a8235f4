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


@when('the store returns from a copy in which the record has "{versions}"')
def step_returned(context: Context, versions: str) -> None:
    """Start a new era, and let the router try for 3 s."""
    site = context.records_site
    site.eras.observe(1)
    site.eras.observe(2)
    site.record(versions)
    for _ in range(3):
        site.now_s += 1.0
        site.history.confirm(0.0)
        assert direct_bench(context).run(site.records.update())
