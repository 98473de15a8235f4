"""Use the stand-in over HTTP: VMs, weights, control, process."""

import json
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.store import Vm
from lacewing_common.store import VmState
from support.platform_bench import end_process
from support.platform_bench import fetch
from support.platform_bench import fetch_failure
from support.platform_bench import fetch_status
from support.platform_bench import load_at_once
from support.platform_bench import PATIENCE_S


@when('{seconds:d} s passes on the platform')
def pass_time(context: Context, seconds: int) -> None:
    """Move the stand-in's clock."""
    context.bench.clock.now_s += seconds


@when('a client without a condition writes "{path}"')
def write_unconditioned(context: Context, path: str) -> None:
    """Write without a condition."""
    bench = context.bench
    bench.status = bench.runner.run(
        fetch_status(bench, f'/objects/{path}', 'PUT')
    )


@when('the VM "{vm_id}" is registered as "{state}"')
def register_vm(context: Context, vm_id: str, state: str) -> None:
    """Register or replace a VM."""
    context.bench.service.put_vm(
        Vm(vm_id, '10.0.0.1', 'zone-a', VmState(state))
    )


@when('the VM "{vm_id}" is removed')
def remove_vm(context: Context, vm_id: str) -> None:
    """Remove a VM."""
    context.bench.service.remove_vm(vm_id)


@when('{count:d} workers load weights at once')
def load_weights(context: Context, count: int) -> None:
    """Load weights in parallel."""
    bench = context.bench
    bench.runner.run(load_at_once(bench, count))


@when('the stand-in starts as a process with a settings file')
def start_process(context: Context) -> None:
    """Start the stand-in as a process; end it with the scenario."""
    directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    config = Path(directory) / 'platform.json'
    config.write_text('{"name": "p1", "vm_lag_s": 0}')
    process = subprocess.Popen(
        [sys.executable, '-m', 'lacewing_bench.platform']
        + ['--config', str(config)],
        stdout=subprocess.PIPE,
    )
    context.resources.callback(end_process, process)
    context.process = process


@then('it says where it listens')
def says_address(context: Context) -> None:
    """Read the line with the address."""
    line = json.loads(context.process.stdout.readline())
    address = line.pop('address')
    assert line == {'event': 'listening', 'name': 'p1', 'kind': 'platform'}
    assert not address.endswith(':0'), address
    context.url = f'http://{address}'


@then('its faults, VMs and counts can be set and read over HTTP')
def control(context: Context) -> None:
    """Set and read over HTTP."""
    url = context.url
    vm = {
        'vm_id': 'vm-1',
        'address': '10.0.0.1',
        'availability_zone': 'zone-a',
        'state': 'live',
    }
    fetch(f'{url}/vms', 'POST', vm)
    assert fetch(f'{url}/vms') == [vm]
    fetch(f'{url}/vms/vm-1', 'DELETE')
    assert fetch(f'{url}/vms') == []
    fetch(f'{url}/faults', 'POST', {'down': 'refuse'})
    assert fetch_failure(f'{url}/vms')[0] == 503
    fetch(f'{url}/faults', 'POST', {})
    assert fetch(f'{url}/vms') == []
    counts = fetch(f'{url}/counts')
    assert counts['calls'] == {'vms': {'': 4}}, counts
    assert counts['refused'] == {'down': 1}, counts
    fetch(f'{url}/counts/reset', 'POST', {})
    assert fetch(f'{url}/counts')['calls'] == {}


@then("wrong fault switches are refused with the field's name")
def refuse_switches(context: Context) -> None:
    """Send a switch that does not exist."""
    status, text = fetch_failure(
        f'{context.url}/faults', 'POST', {'broken': 1}
    )
    assert status == 400, status
    assert '`broken`' in text, text


@then('it ends with code 0 when told to stop')
def stop_process(context: Context) -> None:
    """Send SIGTERM and read the exit code."""
    context.process.send_signal(signal.SIGTERM)
    code = context.process.wait(PATIENCE_S)
    assert code == 0, code


@then('the platform answers it with status {status:d}')
def answers_status(context: Context, status: int) -> None:
    """Compare the status."""
    assert context.bench.status == status, context.bench.status


@then('the VM list shows nothing')
def shows_no_vm(context: Context) -> None:
    """Read the VM list through the store."""
    bench = context.bench
    assert bench.runner.run(bench.store.vms()) == ()


@then('the VM list shows "{vm_id}" as "{state}"')
def shows_vm(context: Context, vm_id: str, state: str) -> None:
    """Read the VM list through the store."""
    bench = context.bench
    vms = bench.runner.run(bench.store.vms())
    expected = Vm(vm_id, '10.0.0.1', 'zone-a', VmState(state))
    assert vms == (expected,), vms


@then('the platform counts {loads:d} weight loads, {peak:d} at once')
def counts_loads(context: Context, loads: int, peak: int) -> None:
    """Compare the counts of the weight store."""
    counts = context.bench.service.counts
    assert counts.weight_loads == loads, counts
    assert counts.weight_loads_peak == peak, counts
