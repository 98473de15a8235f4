"""Check what the pages of incidents list as remaining."""

from behave import given
from behave import when
from behave.runner import Context
from lacewing_daemon.direct.origins._history import MAX_HISTORY_S
from steps.out_of_step_steps import take_up
from steps.software_records_steps import RecordsSite
from support.direct_bench import direct_bench


@given('routers that start again with the settings of the first start')
def step_again(context: Context) -> None:
    """Keep the setting beside a store that has the record of its era."""
    direct_bench(context).first_start = True


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


@given('recorded versions "{versions}" of a list that has "v1" for long')
def step_observed_long(context: Context, versions: str) -> None:
    """Let a router read the record, and observe its list for 301 s."""
    site = context.records_site = RecordsSite()
    site.record(versions)
    site.history.confirm(0.0)
    site.now_s += 1.0
    assert direct_bench(context).run(site.records.update())
    site.now_s += MAX_HISTORY_S
    site.history.confirm(0.0)


@when('another router records "{versions}" before the next update')
def step_other_records(context: Context, versions: str) -> None:
    """Write the record, and let the router of the list update it."""
    site = context.records_site
    site.record(versions)
    assert direct_bench(context).run(site.records.update())
