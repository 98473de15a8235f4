"""Use the platform simulator over HTTP and as a process."""

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
from support.platform_bench import fetch
from support.platform_bench import fetch_failure
from support.platform_bench import fetch_status
from support.platform_bench import kill_process
from support.platform_bench import load_concurrently
from support.platform_bench import TIMEOUT_S


@when('the platform clock advances by {seconds:d} s')
def advance_clock(context: Context, seconds: int) -> None:
    """Advance the clock of the simulator."""
    context.bench.clock.now_s += seconds


@when('a client writes "{path}" without a precondition')
def write_unconditioned(context: Context, path: str) -> None:
    """Write without a precondition."""
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


@when('{count:d} workers load weights concurrently')
def load_weights(context: Context, count: int) -> None:
    """Load weights concurrently."""
    bench = context.bench
    bench.runner.run(load_concurrently(bench, count))


@when('the simulator is started as a process with a settings file')
def start_process(context: Context) -> None:
    """Start the simulator as a process; kill it after the scenario."""
    directory = context.resources.enter_context(tempfile.TemporaryDirectory())
    config = Path(directory) / 'platform.json'
    config.write_text('{"name": "p1", "vm_lag_s": 0}')
    process = subprocess.Popen(
        [sys.executable, '-m', 'lacewing_bench.platform']
        + ['--config', str(config)],
        stdout=subprocess.PIPE,
    )
    context.resources.callback(kill_process, process)
    context.process = process


@then('it prints its listen address')
def check_address(context: Context) -> None:
    """Read the line that contains the address."""
    line = json.loads(context.process.stdout.readline())
    address = line.pop('address')
    assert line == {'event': 'listening', 'name': 'p1', 'kind': 'platform'}
    assert not address.endswith(':0'), address
    context.url = f'http://{address}'


@then('its faults, VMs and counts can be set and read over HTTP')
def check_control_api(context: Context) -> None:
    """Use each resource of the control API."""
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


@then("unknown fault switches are rejected with the field's name")
def check_unknown_switch(context: Context) -> None:
    """Send an unknown switch."""
    status, text = fetch_failure(
        f'{context.url}/faults', 'POST', {'broken': 1}
    )
    assert status == 400, status
    assert '`broken`' in text, text


@then('it exits with code 0 on SIGTERM')
def stop_process(context: Context) -> None:
    """Send SIGTERM and check the exit code."""
    context.process.send_signal(signal.SIGTERM)
    code = context.process.wait(TIMEOUT_S)
    assert code == 0, code


@then('the platform returns status {status:d}')
def check_status(context: Context, status: int) -> None:
    """Compare the status."""
    assert context.bench.status == status, context.bench.status


@then('the VM list is empty')
def check_no_vm(context: Context) -> None:
    """Compare the VM list read through the store."""
    bench = context.bench
    assert bench.runner.run(bench.store.vms()) == ()


@then('the VM list shows "{vm_id}" as "{state}"')
def check_vm(context: Context, vm_id: str, state: str) -> None:
    """Compare the VM list read through the store."""
    bench = context.bench
    vms = bench.runner.run(bench.store.vms())
    expected = Vm(vm_id, '10.0.0.1', 'zone-a', VmState(state))
    assert vms == (expected,), vms


@then('the platform counts {loads:d} weight loads, {peak:d} concurrent')
def check_loads(context: Context, loads: int, peak: int) -> None:
    """Compare the counts of the weight store."""
    counts = context.bench.service.counts
    assert counts.weight_loads == loads, counts
    assert counts.weight_loads_peak == peak, counts
