"""Crash engines amid the streams of a fleet."""

import json

from behave import then
from behave import when
from behave.runner import Context

REFUSE_S = 1.0
# Of the test's service, in milliseconds.
FIRST_TOKEN_MS = 8000.0
ANSWER_MS = 120_000.0


@when('the engine with most requests crashes with over {least:d} of them open')
def crash_busiest(context: Context, least: int) -> None:
    """Crash the engine that has most requests under way."""
    bench = context.bench
    open_at: dict[str, int] = {}
    for name, url in bench.fleet.worker_urls.items():
        if not name.startswith(bench.fleet.deployment.model_service):
            continue
        truth = json.loads(bench.run(bench.fleet.read(f'{url}/truth?blocks=')))
        open_at[name] = truth['running'] + truth['waiting']
    busiest = max(open_at, key=lambda name: open_at[name])
    assert open_at[busiest] > least, open_at
    crash = {'crash': {'refuse_s': REFUSE_S}}
    bench.run(bench.fleet.set_worker_faults(busiest, crash))


@then('the second agent may begin them as late as an answer may end')
def then_late(context: Context) -> None:
    """Check the time that the last Start allows."""
    start = context.agents[1].seen.starts[-1]
    assert FIRST_TOKEN_MS < start.budget_ms <= ANSWER_MS, start.budget_ms
