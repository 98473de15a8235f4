"""Send signals to processes that are starting."""

import signal
import tempfile
import time
from pathlib import Path

import psutil
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.settings import Listen
from support.direct_bench import direct_bench
from support.router_process import RouterProcess

POLL_S = 0.005
LISTENING = 'main: Listening.'
READ_AGAIN = 'main: Read the settings again.'


@given('a router process that has used a processor for {moment_s:g} s')
def step_starting(context: Context, moment_s: float) -> None:
    """Start a process and wait until it has run for so long or serves."""
    directory = tempfile.TemporaryDirectory()
    context.resources.callback(directory.cleanup)
    bench = direct_bench(context)
    process = RouterProcess(
        Path(directory.name), bench.store.address, bench.bounds
    )
    bench.process = process
    bench.until(
        lambda: process.processor_s >= moment_s or _has_started(process),
        f'a process that has run for {moment_s} s',
    )


def _process(context: Context) -> RouterProcess:
    process = direct_bench(context).process
    assert process is not None
    return process


def _has_started(process: RouterProcess) -> bool:
    return process.callers_address != ''


@when('it gets {name}')
def step_signal(context: Context, name: str) -> None:
    """Send a signal to the process."""
    _process(context).send(signal.Signals[name])


@then('it serves and has read its settings again once')
def step_serves(context: Context) -> None:
    """Wait for answers and for the line of the reload."""
    bench = direct_bench(context)
    process = _process(context)
    bench.until(
        lambda: _has_started(process) or process.exit_code is not None,
        'a started router',
    )
    assert process.exit_code is None, process.exit_code
    bench.until(lambda: bench.ask().status == 200, 'a serving router')
    bench.until(lambda: _count_reloads(process) > 0, 'settings read again')
    assert bench.ask().status == 200, bench.answer
    assert _count_reloads(process) == 1, process.events()
    assert process.exit_code is None, process.exit_code


def _count_reloads(process: RouterProcess) -> int:
    return sum(line.event == READ_AGAIN for line in process.events())


@then('it ends by the signal or by a stop')
def step_ends(context: Context) -> None:
    """Wait for the end of the process."""
    bench = direct_bench(context)
    process = _process(context)
    bench.until(lambda: process.exit_code is not None, 'the end of a router')
    assert process.exit_code in (0, -signal.SIGTERM), process.exit_code


@when(
    '"{name}" starts again and gets SIGHUP once it has used a processor for'
    ' {moment_s:g} s'
)
def step_starts_again(context: Context, name: str, moment_s: float) -> None:
    """Start a daemon at its addresses and signal it while it starts."""
    bench = context.bench
    daemon = bench.fleet.daemon(name)
    last = daemon.addresses
    daemon.write_settings(
        Listen(
            peers=last.peers,
            operators=last.operators,
            callers=last.callers or Listen().callers,
        )
    )
    starts = daemon.process.output().count(LISTENING)
    daemon.process.start()
    process = psutil.Process(daemon.process.pid)

    def has_used() -> bool:
        time.sleep(POLL_S)
        times = process.cpu_times()
        if times.user + times.system >= moment_s:
            return True
        # An idle process does not use a processor any more.
        return bool(daemon.process.output().count(LISTENING) > starts)

    bench.until_asked(has_used, f'{name} that has run for {moment_s} s')
    daemon.process.send(signal.SIGHUP)
