"""Replay traces against a fleet of real processes."""

import json
import subprocess
import sys
from collections.abc import Iterable

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fleet import LAHORE
from lacewing_bench.load._request import TimedRequest
from lacewing_bench.load._trace import write_trace
from lacewing_bench.load._workload import WorkloadOptions
from support.fleet_bench import FleetBench
from support.load_bench import generate
from support.load_bench import model_requests

RUN_LIMIT_S = 90.0


@given('a running fleet of lahore with 1 router, 1 model and 1 plain worker')
def given_lahore(context: Context) -> None:
    """Start a small fleet."""
    context.bench = FleetBench(context)
    context.bench.start(LAHORE.sized(1, 1, 1))


@given('the first {count:d} requests of its workload as a trace')
def given_requests(context: Context, count: int) -> None:
    """Write a trace."""
    _write(context, generate('lahore', WorkloadOptions(7, 20.0))[:count])


@given('the first {count:d} model requests of its workload as a trace')
def given_model_requests(context: Context, count: int) -> None:
    """Write a trace of model requests."""
    requests = generate('lahore', WorkloadOptions(7, 20.0))
    _write(context, tuple(model_requests(requests)[:count]))


@when('the trace is replayed through the command line')
def replay(context: Context) -> None:
    """Replay with the right weights."""
    _replay(context, 'w1')


@when('the trace is replayed expecting the weights "{weights}"')
def replay_weights(context: Context, weights: str) -> None:
    """Replay with other weights."""
    _replay(context, weights)


@then('it ends with code {code:d}')
def ends_with(context: Context, code: int) -> None:
    """Compare the exit code."""
    run = context.replayed
    assert run.returncode == code, (run.returncode, run.stdout, run.stderr)


@then('the report counts {count:d} right answers')
def counts_right(context: Context, count: int) -> None:
    """Compare the right answers."""
    assert _summary(context)['right'] == count, context.replayed.stdout


@then('the report counts {count:d} crossed answers')
def counts_crossed(context: Context, count: int) -> None:
    """Compare the crossed answers."""
    assert _summary(context)['crossed'] == count, context.replayed.stdout


def _write(context: Context, requests: tuple[TimedRequest, ...]) -> None:
    directory = context.bench.directory
    # Spread evenly, so that a busy machine refuses none.
    spread: list[TimedRequest] = []
    for number, request in enumerate(requests):
        spread.append(msgspec.structs.replace(request, at_s=number * 0.05))
    write_trace(spread, directory / 'trace.jsonl')
    keys = dict(context.bench.fleet.team_keys)
    (directory / 'keys.json').write_text(json.dumps(keys))


def _replay(context: Context, weights: str) -> None:
    directory = context.bench.directory
    fleet = context.bench.fleet
    context.replayed = subprocess.run(
        [
            sys.executable,
            '-m',
            'lacewing_bench.load',
            'replay',
            f'--trace={directory}/trace.jsonl',
            f'--keys={directory}/keys.json',
            f'--routers={_addresses(fleet.router_urls)}',
            f'--workers={_addresses(fleet.worker_urls.values())}',
            f'--weights={weights}',
            f'--output={directory}/load',
        ],
        capture_output=True,
        text=True,
        timeout=RUN_LIMIT_S,
    )


def _addresses(urls: Iterable[str]) -> str:
    return ','.join(url.removeprefix('http://') for url in urls)


def _summary(context: Context) -> dict[str, int]:
    path = context.bench.directory / 'load' / 'load.json'
    summary: dict[str, int] = json.loads(path.read_text())['summary']
    return summary
