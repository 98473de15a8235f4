"""Start fleets of real processes and call them."""

import os
from functools import partial
from pathlib import Path

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fleet import FleetOptions
from lacewing_bench.fleet._bundle import make_bundle
from lacewing_common.bundle import Team
from lacewing_common.bundle import TeamLimits
from support.fleet_bench import chat
from support.fleet_bench import check
from support.fleet_bench import completion
from support.fleet_bench import FleetBench
from support.fleet_bench import plain
from support.fleet_bench import small


def _start(
    context: Context,
    routers: int,
    models: int,
    plains: int,
    options: FleetOptions | None = None,
) -> None:
    context.bench = FleetBench(context)
    context.bench.start(small(routers, models, plains), options)


# Long enough that computing it again costs more than the wait which a load
# report of a moment ago still shows at its worker.
LONG_CHAT = 600


@given(
    'a fleet of {routers:d} router(s), {models:d} model worker(s) and'
    ' {plains:d} plain worker(s)'
)
def given_fleet(
    context: Context, routers: int, models: int, plains: int
) -> None:
    """Start a fleet."""
    _start(context, routers, models, plains)


@given('each router has a link to every agent')
def given_linked(context: Context) -> None:
    """Wait for all links of all routers."""
    bench = context.bench
    for router in bench.fleet.router_names:
        bench.run(bench.fleet.until_linked(router))


@given('a fleet with a drain period of {drain_s:g} s')
def given_short_drain(context: Context, drain_s: float) -> None:
    """Start a fleet whose daemons drain for a short time."""
    _start(context, 1, 1, 0, FleetOptions(drain_s=drain_s))


@given('a fleet with TLS')
def given_tls(context: Context) -> None:
    """Start a fleet with TLS on all listeners."""
    context.bench = FleetBench(context)
    context.bench.start_with_tls()


@given('{number:d} callers read streams of {tokens:d} tokens')
def given_streams(context: Context, number: int, tokens: int) -> None:
    """Begin streams at the first router."""
    context.bench.read_streams(number, tokens)


@when('team "{team}" sends a streamed chat through each router')
def when_streamed(context: Context, team: str) -> None:
    """Ask each router a question of its own."""
    context.bench.send_through_each(partial(chat, team))


@when('team "{team}" sends a whole chat through each router')
def when_whole(context: Context, team: str) -> None:
    """Ask each router a question of its own, not streamed."""
    context.bench.send_through_each(partial(chat, team, stream=False))


@when('team "{team}" sends a completion through each router')
def when_completion(context: Context, team: str) -> None:
    """Have each router's prompt completed."""
    context.bench.send_through_each(partial(completion, team))


@when('team "{team}" sends a plain call through each router')
def when_plain(context: Context, team: str) -> None:
    """Call the plain service through each router."""
    context.bench.send_through_each(partial(plain, team))


@when('team "{team}" sends the same long chat through each router')
def when_same(context: Context, team: str) -> None:
    """Ask all routers the same question."""
    call = chat(team, 'What does fault 12 mean? ' * LONG_CHAT)
    context.bench.send_through_each(lambda _router: call)


@when('the platform of the fleet goes down')
def when_platform_down(context: Context) -> None:
    """Refuse all calls to the platform."""
    bench = context.bench
    bench.run(bench.fleet.set_platform_faults({'down': 'refuse'}))


@when('the bundle file lets only team "{team}" in')
def when_bundle_changes(context: Context, team: str) -> None:
    """Roll a bundle with one team."""
    fleet = context.bench.fleet
    bundle = make_bundle(fleet.deployment)
    teams = tuple(each for each in bundle.teams if each.name == team)
    fleet.write_bundle(
        type(bundle)(
            teams=teams,
            services=bundle.services,
            models=bundle.models,
            prefix_secret=bundle.prefix_secret,
        )
    )


@given('team "{team}" may send {requests:g} requests a second')
def given_team_limit(context: Context, team: str, requests: float) -> None:
    """Put a bundle in force that bounds one team."""
    fleet = context.bench.fleet
    bundle = make_bundle(fleet.deployment)
    teams: list[Team] = []
    for each in bundle.teams:
        if each.name == team:
            limits = TeamLimits(requests_per_s=requests)
            each = msgspec.structs.replace(each, limits=limits)
        teams.append(each)
    fleet.write_bundle(msgspec.structs.replace(bundle, teams=tuple(teams)))


@when('team "{team}" sends {number:d} plain calls through each router')
def when_many_plain(context: Context, team: str, number: int) -> None:
    """Send calls one after the other."""
    for index in range(number):
        word = f'part-{index}'
        context.bench.send_through_each(lambda _: plain(team, word))


@then('some answers are whole and the others are refused for the limit')
def then_some_refused(context: Context) -> None:
    """Check status, verdict and the time to come back."""
    refused = 0
    for asked in context.bench.asked:
        if asked.answer.status == 200:
            check(asked)
            continue
        refused += 1
        assert asked.answer.status == 429, asked
        assert asked.answer.verdict == 'not-run', asked
        assert asked.answer.retry_after_s is not None, asked
    assert 0 < refused < len(context.bench.asked), refused


@when('the bundle file is broken')
def when_bundle_breaks(context: Context) -> None:
    """Leave half a bundle in the file."""
    context.bench.fleet.bundle_file.write_text('{"teams": [')


@when('the fleet ends')
def when_fleet_ends(context: Context) -> None:
    """Close the fleet and remember its process ids."""
    bench = context.bench
    context.pids = bench.fleet.pids
    bench.run(bench.fleet.close())


@then('each answer is the one that its worker ought to give')
def then_answers(context: Context) -> None:
    """Check all answers so far."""
    assert context.bench.asked
    for asked in context.bench.asked:
        check(asked)


@then('the answers have the status {status:d}')
def then_status(context: Context, status: int) -> None:
    """Compare the HTTP status of all answers so far."""
    found = {asked.answer.status for asked in context.bench.asked}
    assert found == {status}, found


@then('the second answer reused tokens')
def then_reused(context: Context) -> None:
    """Look at the usage that the engine reported."""
    first, second = context.bench.asked
    check(first)
    check(second)
    assert first.answer.cached_tokens == 0, first.answer
    assert second.answer.cached_tokens, second.answer


@then('each caller gets its whole stream')
def then_whole_streams(context: Context) -> None:
    """Read the streams to their end."""
    found = context.bench.finish_streams()
    assert found
    for asked in found:
        check(asked)


@then('none of its processes runs')
def then_none_runs(context: Context) -> None:
    """Look for the process ids."""
    assert context.pids
    running = [pid for pid in context.pids if Path(f'/proc/{pid}').exists()]
    assert not running, (running, os.getpid())
