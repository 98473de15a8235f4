"""Check a router beside crowds of callers that do not behave."""

import resource
import signal
import tempfile
import time
from functools import partial
from pathlib import Path

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from support.direct_bench import direct_bench
from support.direct_bench import route
from support.hostile_crowd import Behaviour
from support.hostile_crowd import Crowd
from support.hostile_crowd import reads_nothing
from support.hostile_crowd import reads_slowly
from support.hostile_crowd import sends_endless_head
from support.hostile_crowd import sends_tiny_chunks
from support.hostile_crowd import stays_idle
from support.hostile_crowd import withholds_last_byte
from support.router_process import RouterProcess

MB = 1_000_000
_MAX_BODY_BYTES = 4 * 1024 * 1024
# Longer than the scenarios wait, so that only other limits end connections.
_IDLE_TIMEOUT_MS = 60000
HELD_S = 3.0
_STREAM_PATH = '/long/'
_LONG_MS = 60000
_SLOTS = 400
_TOKENS = 10_000_000
# Descriptors that a router has beside those of callers may vary by this.
_SPARE_DESCRIPTORS = 20


@given('a store with a large body limit')
def step_store(context: Context) -> None:
    """Write a configuration with the limits of the deployments."""
    bench = direct_bench(context)
    engine = dict(bench.config['Services'][1]['Engine'])
    engine.update(Slots=_SLOTS, KvCacheTokens=_TOKENS)
    streams = route(
        _STREAM_PATH,
        'streaming',
        'models',
        Resumable=False,
        TimeoutMs=_LONG_MS,
        TargetLatencyMs=_LONG_MS,
    )
    bench.configure(
        Limits={
            'MaxBodyBytes': _MAX_BODY_BYTES,
            'MaxHeaderBytes': 16384,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': _IDLE_TIMEOUT_MS,
        },
        Routes=[*bench.config['Routes'], streams],
        Services=[
            {'Name': 'registry', 'ConnectionLimit': _SLOTS},
            {'Name': 'models', 'ConnectionLimit': _SLOTS, 'Engine': engine},
        ],
    )


@given('engines "{first}" and "{second}" with many slots')
def step_engines(context: Context, first: str, second: str) -> None:
    """Start engines that take all that comes."""
    bench = direct_bench(context)
    for name in (first, second):
        entry = bench.add_upstream(name, 'models').store_entry()
        entry['Slots'] = _SLOTS
        bench.on_loop(partial(bench.store.put, 'servers', name, entry))
    release = {'Model': 'tutor', 'Version': 1}
    bench.on_loop(lambda: bench.store.put('versions', 'tutor', release))


@given(
    'a router process of a VM with {memory_mb:d} MB and {descriptors:d}'
    ' descriptors'
)
def step_process(context: Context, memory_mb: int, descriptors: int) -> None:
    """Start the process, and limit its descriptors as the VM does."""
    bench = direct_bench(context)
    context.memory_bytes = memory_mb * MB
    context.descriptors = descriptors
    bench.process_settings = {
        'vm': {'memory_mb': memory_mb, 'file_descriptors': descriptors},
    }
    _start(context)


@given('a router that ends answers without progress after {stall_s:g} s')
def step_stalls(context: Context, stall_s: float) -> None:
    """Start another process with a shorter limit."""
    bench = direct_bench(context)
    bench.process_settings['caller_limits'] = {'write_stall_s': stall_s}
    _process(context).end()
    _start(context)


def _start(context: Context) -> None:
    bench = direct_bench(context)
    directory = tempfile.TemporaryDirectory()
    context.resources.callback(directory.cleanup)
    process = bench.start_process(Path(directory.name))
    resource.prlimit(
        process.pid,
        resource.RLIMIT_NOFILE,
        (context.descriptors, context.descriptors),
    )
    context.descriptors_before = process.descriptors


@given('upstreams whose answers have {size:d} bytes')
def step_large_answers(context: Context, size: int) -> None:
    """Let plain upstreams send large answers."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.body = b'a' * size


@given('streams of {count:d} events of {size:d} bytes')
def step_large_streams(context: Context, count: int, size: int) -> None:
    """Let engines send long streams."""
    for upstream in direct_bench(context).upstreams.values():
        upstream.event_count = count
        upstream.event_padding = b'e' * size


@when('{count:d} callers ask for "{path}" and read slowly')
def step_slow_readers(context: Context, count: int, path: str) -> None:
    """Hold plain answers."""
    _hold(context, count, reads_slowly(path, 'GET', 'HTTP/1.1'))


@when('{count:d} callers ask for "{path}", read slowly and come again')
def step_returning_readers(context: Context, count: int, path: str) -> None:
    """Hold plain answers, and ask again once closed."""
    _hold(context, count, reads_slowly(path, 'GET', 'HTTP/1.1'), True)


@when('{count:d} callers ask for "{path}" and read nothing')
def step_no_readers(context: Context, count: int, path: str) -> None:
    """Hold plain answers without any progress."""
    _hold(context, count, reads_nothing(path))


@when('{count:d} callers without chunks ask for streams and read slowly')
def step_unchunked(context: Context, count: int) -> None:
    """Hold streams that the router cannot pass on."""
    path = f'{_STREAM_PATH}1'
    _hold(context, count, reads_slowly(path, 'POST', 'HTTP/1.0'))


@when('{count:d} callers ask for streams and read slowly')
def step_slow_streams(context: Context, count: int) -> None:
    """Hold streams."""
    path = f'{_STREAM_PATH}1'
    _hold(context, count, reads_slowly(path, 'POST', 'HTTP/1.1'))


@when('{count:d} callers withhold the last byte of {size:d}')
def step_bodies(context: Context, count: int, size: int) -> None:
    """Hold bodies."""
    _hold(context, count, withholds_last_byte(size))


@when('{count:d} callers withhold the last byte of {size:d} and come again')
def step_returning_bodies(context: Context, count: int, size: int) -> None:
    """Hold bodies, and send another one once refused."""
    _hold(context, count, withholds_last_byte(size), True)


@when('they leave')
def step_leave(context: Context) -> None:
    """Close the connections of the crowd."""
    context.crowd.leave()


@when('{count:d} callers send {chunks:d} chunks of one byte')
def step_tiny_chunks(context: Context, count: int, chunks: int) -> None:
    """Send bodies that cost much more processor time than they are worth."""
    _hold(context, count, sends_tiny_chunks(chunks))


@when('{count:d} callers send {size:d} bytes of a head without its end')
def step_heads(context: Context, count: int, size: int) -> None:
    """Hold heads."""
    _hold(context, count, sends_endless_head(size))


@when('{count:d} callers send nothing')
def step_idle(context: Context, count: int) -> None:
    """Hold connections."""
    _hold(context, count, stays_idle(False))


@when('{count:d} callers keep connections that got an answer')
def step_kept(context: Context, count: int) -> None:
    """Hold connections that were used."""
    _hold(context, count, stays_idle(True))


@when('{count:d} callers of the readiness page send nothing')
def step_ready_idle(context: Context, count: int) -> None:
    """Hold connections to the port of the load balancer."""
    process = _process(context)
    _hold(context, count, stays_idle(False), address=process.ready_address)


@when('the router is stopped')
def step_stop(context: Context) -> None:
    """Send SIGTERM."""
    _process(context).send(signal.SIGTERM)


@when('a caller sends {size:d} bytes')
def step_large_body(context: Context, size: int) -> None:
    """Send one large request."""
    direct_bench(context).ask(
        '/certificates/1', method='POST', body=b'x' * size
    )


@then('the router lives within its VM')
def step_lives(context: Context) -> None:
    """Check memory and descriptors while the crowd holds what it can."""
    process = _process(context)
    assert process.exit_code is None, process.exit_code
    peak = process.peak_bytes
    assert peak <= context.memory_bytes, f'{peak / MB:.1f} MB'
    descriptors = process.descriptors
    assert descriptors <= context.descriptors, descriptors


@then('an ordinary request is answered')
def step_ordinary(context: Context) -> None:
    """Ask once more, on a new connection."""
    bench = direct_bench(context)
    for upstream in bench.upstreams.values():
        upstream.body = b'whole body'
    answer = bench.ask('/records/ordinary')
    assert answer.status == 200, answer
    assert answer.body == b'whole body', answer


@then('the readiness page is answered')
def step_ready(context: Context) -> None:
    """Ask as the load balancer does."""
    answer = direct_bench(context).ask_ready()
    assert answer.status == 200, answer


@then('the router closes all of their connections')
def step_closed(context: Context) -> None:
    """Wait until it has no more descriptors than before the crowd."""
    process = _process(context)
    most = context.descriptors_before + _SPARE_DESCRIPTORS
    direct_bench(context).until(
        lambda: process.descriptors <= most, 'closed connections'
    )


@then('none of these bodies was taken')
def step_not_taken(context: Context) -> None:
    """Check that each was refused, and that no upstream was sent one."""
    crowd = context.crowd
    direct_bench(context).until(
        lambda: len(crowd.statuses) == crowd.count, 'ended connections'
    )
    assert set(crowd.statuses) <= {'400', '413', ''}, crowd.statuses
    for received in direct_bench(context).received():
        request_id = received.headers['X-Lacewingstack-Request-Id']
        assert not request_id.startswith('crowd-'), request_id


@then('it ends by itself with code {code:d}')
def step_ends(context: Context, code: int) -> None:
    """Wait for the end of the process."""
    process = _process(context)
    direct_bench(context).until(
        lambda: process.exit_code is not None, 'an ended router'
    )
    assert process.exit_code == code, process.exit_code


@then('it is answered whole')
def step_whole(context: Context) -> None:
    """Check the last answer."""
    answer = direct_bench(context).answer
    assert answer.status == 200, answer.status
    assert len(answer.body) == 4_000_000, len(answer.body)


def _hold(
    context: Context,
    count: int,
    behaviour: Behaviour,
    returns: bool = False,
    address: str = '',
) -> None:
    """Let a crowd arrive and hold what it can for a while."""
    crowd = Crowd(
        address or _process(context).callers_address, count, behaviour, returns
    )
    context.crowd = crowd
    context.resources.callback(crowd.leave)
    crowd.arrive()
    time.sleep(HELD_S)


def _process(context: Context) -> RouterProcess:
    process = direct_bench(context).process
    assert process is not None
    return process
