"""Steps that signal the daemons of a fleet and check their status."""

import json
import signal
import subprocess
import sys
from typing import Any

from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.certificates import make_authority
from lacewing_bench.certificates import write_certificate
from lacewing_common.settings import Listen
from support.fleet_bench import FleetBench
from support.link_probe import can_link


@when('"{name}" gets SIGTERM')
def when_terminated(context: Context, name: str) -> None:
    """Send SIGTERM to a process."""
    context.bench.fleet.process(name).send(signal.SIGTERM)


@when('"{name}" is killed')
def when_killed(context: Context, name: str) -> None:
    """Kill a process."""
    context.bench.run(context.bench.fleet.kill(name))


@when('"{name}" is frozen')
def when_frozen(context: Context, name: str) -> None:
    """Suspend a process, so that it does not handle SIGTERM."""
    context.bench.fleet.freeze(name)


@when('"{name}" starts again')
def when_restarted(context: Context, name: str) -> None:
    """Restart a killed process with the same addresses."""
    context.bench.run(context.bench.fleet.restart(name))


@when('"{name}" says "{event}"')
def when_says(context: Context, name: str, event: str) -> None:
    """Wait for an event in the log of a process."""
    context.bench.run(context.bench.fleet.process(name).lines(event))


@when('a second router starts with the addresses of the first')
def when_started_twice(context: Context) -> None:
    """Start a second process with the addresses of the first."""
    bench = context.bench
    daemon = bench.fleet.daemon('router-1')
    in_use = daemon.addresses
    daemon.write_settings(
        Listen(callers=in_use.callers, operators=in_use.operators)
    )
    context.ended = subprocess.run(
        [
            sys.executable,
            '-m',
            'lacewing_daemon.main',
            '--settings',
            str(daemon.settings_path),
        ],
        capture_output=True,
        text=True,
        check=False,
    )


@when('an operator asks for the status as JSON')
def when_status_json(context: Context) -> None:
    """Run lacewingctl status for the fleet with JSON output."""
    _run_ctl(context, ['--fleet', str(_fleet_file(context)), '--json'])
    context.report = json.loads(context.ctl.stdout)


@when('an operator asks for the status as a table')
def when_status_table(context: Context) -> None:
    """Run lacewingctl status for the fleet with a table as output."""
    _run_ctl(context, ['--fleet', str(_fleet_file(context))])


@when('an operator asks for the status without an address')
def when_status_without_address(context: Context) -> None:
    """Run lacewingctl status without an address."""
    _run_ctl(context, [])


@when('bundle number {number:d} is in force at "{name}"')
@then('bundle number {number:d} is in force at "{name}"')
def when_active(context: Context, number: int, name: str) -> None:
    """Wait until a process reports a bundle number."""
    bench: FleetBench = context.bench

    def is_active() -> bool:
        return bench.status(name).bundle_number == number

    bench.until_asked(is_active, f'bundle {number} at {name}')


@then('lacewingctl exits with code {code:d}')
def then_ctl_code(context: Context, code: int) -> None:
    """Check the exit code."""
    found = context.ctl.returncode
    assert found == code, (found, context.ctl.stdout, context.ctl.stderr)


@then('it lists a router in "{zone}" with bundle number {number:d}')
def then_lists_router(context: Context, zone: str, number: int) -> None:
    """Check the status of the router."""
    router = _find_listed(context, 'router')
    assert router['place']['availability_zone'] == zone, router
    assert router['bundle_number'] == number, router
    assert router['ready'], router


@then('it lists an agent with the epoch of its worker')
def then_lists_agent(context: Context) -> None:
    """Compare the epoch with the one that the worker reports."""
    agent = _find_listed(context, 'agent')
    worker = agent['process_id'].removeprefix('agent-')
    assert agent['epoch'] == context.bench.worker_epoch(worker), agent


@then('the table names each process')
def then_table(context: Context) -> None:
    """Check that the output contains each name."""
    fleet = context.bench.fleet
    for name in (*fleet.router_names, *fleet.agent_names):
        assert name in context.ctl.stdout, context.ctl.stdout


@then('it names the address of "{name}" as unanswered')
def then_unanswered(context: Context, name: str) -> None:
    """Check that the report has an error for the address."""
    address = context.bench.fleet.daemon(name).addresses.operators
    assert context.report['unanswered'].get(address), context.report


@then('"{name}" exits with code {code:d}')
def then_exits(context: Context, name: str, code: int) -> None:
    """Wait until a process ends and check its exit code."""
    process = context.bench.fleet.process(name)
    found = context.bench.run(process.ended())
    assert found == code, (found, process.output()[-1000:])


@then('a link with a certificate of the authority is accepted')
def then_link_accepted(context: Context) -> None:
    """Connect with the certificate of a fleet process."""
    bench = context.bench
    assert bench.run(can_link(_agent_address(context), bench.tls))


@then('a link without a certificate is refused')
def then_no_certificate(context: Context) -> None:
    """Connect with TLS but without a certificate."""
    assert not context.bench.run(can_link(_agent_address(context), None))


@then('a link with a certificate of another authority is refused')
def then_other_authority(context: Context) -> None:
    """Connect with a certificate of an unknown authority."""
    bench = context.bench
    files = write_certificate(
        make_authority('stranger'), 'stranger', bench.directory
    )
    assert not bench.run(can_link(_agent_address(context), files))


def _agent_address(context: Context) -> str:
    fleet = context.bench.fleet
    address: str = fleet.daemon(fleet.agent_names[0]).addresses.peers
    return address


def _run_ctl(context: Context, arguments: list[str]) -> None:
    context.ctl = subprocess.run(
        [sys.executable, '-m', 'lacewing_ctl.main', 'status', *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


def _fleet_file(context: Context) -> str:
    path: str = str(context.bench.write_fleet_file())
    return path


def _find_listed(context: Context, role: str) -> dict[str, Any]:
    for process in context.report['processes']:
        if process['role'] == role:
            listed: dict[str, Any] = process
            return listed
    raise AssertionError((role, context.report))
