"""Check an agents' router beside crowds of callers that do not behave."""

import resource
import time

import psutil
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fleet import FleetOptions
from lacewing_common.caller_limits import VmSize
from steps.hostile_callers_steps import HELD_S
from steps.hostile_callers_steps import MB
from support.fleet_bench import check
from support.fleet_bench import FleetBench
from support.fleet_bench import plain
from support.fleet_bench import small
from support.hostile_crowd import Behaviour
from support.hostile_crowd import Crowd
from support.hostile_crowd import stays_idle
from support.hostile_crowd import withholds_last_byte
from support.router_process import peak_bytes

_TEAM = 'brno'
_PATH = '/services/registry/motors/crowd'


@given(
    'a fleet with a router of a VM with {memory_mb:d} MB and {count:d}'
    ' descriptors'
)
def step_vm(context: Context, memory_mb: int, count: int) -> None:
    """Start it, and limit the descriptors as the VM does."""
    vm = VmSize(memory_mb=memory_mb, file_descriptors=count)
    context.bench = FleetBench(context)
    context.bench.start(small(1, 1, 1), FleetOptions(vm=vm))
    context.memory_bytes = memory_mb * MB
    context.descriptors = count
    resource.prlimit(_pid(context), resource.RLIMIT_NOFILE, (count, count))


@when('{count:d} callers of the fleet withhold the last byte of {size:d}')
def step_bodies(context: Context, count: int, size: int) -> None:
    """Hold bodies."""
    key = context.bench.fleet.team_keys[_TEAM]
    behaviour = withholds_last_byte(size, _PATH, f'Bearer {key}')
    _hold(context, count, behaviour)


@when('{count:d} callers of the fleet send nothing')
def step_idle(context: Context, count: int) -> None:
    """Hold connections."""
    _hold(context, count, stays_idle(False))


@then("the fleet's router lives within its VM")
def step_lives(context: Context) -> None:
    """Check memory and descriptors while the crowd holds what it can."""
    pid = _pid(context)
    peak = peak_bytes(pid)
    assert peak <= context.memory_bytes, f'{peak / MB:.1f} MB'
    descriptors = psutil.Process(pid).num_fds()
    assert descriptors <= context.descriptors, descriptors


@then('an ordinary request of the fleet is answered')
def step_ordinary(context: Context) -> None:
    """Ask once more, on a new connection."""
    bench = context.bench
    bench.send(bench.fleet.router_names[0], plain(_TEAM, 'ordinary'))
    check(bench.asked[-1])


def _hold(context: Context, count: int, behaviour: Behaviour) -> None:
    fleet = context.bench.fleet
    url = fleet.caller_url(fleet.router_names[0])
    crowd = Crowd(url.rpartition('/')[2], count, behaviour)
    context.resources.callback(crowd.leave)
    crowd.arrive()
    time.sleep(HELD_S)


def _pid(context: Context) -> int:
    fleet = context.bench.fleet
    pid: int = fleet.pids_by_name[fleet.router_names[0]]
    return pid
