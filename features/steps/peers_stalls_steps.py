"""Delay the event loop and check failure detection and reader election."""

import asyncio
import time

from behave import then
from behave import when
from behave.runner import Context
from lacewing_common.wire_peers import Liveness
from support.event_loop import delay_iterations
from support.peers_bench import PeersBench

POLL_S = 0.05


def _readers(bench: PeersBench) -> list[str]:
    """Return the names of the peers that watch the platform."""
    return [each.name for each in bench.peers.values() if each.is_reading]


@when(
    'the same {count:d} peers have watched the platform for {duration_s:g} s'
)
def when_readers_stable(
    context: Context, count: int, duration_s: float
) -> None:
    """Wait until all peers know each other and their readers are stable.

    While the membership changes, an additional peer may read briefly.
    """
    bench: PeersBench = context.bench
    bench.until_all_know(len(bench.peers))
    last_readers: list[str] = []
    changed_s = time.monotonic()

    def are_stable() -> bool:
        nonlocal last_readers, changed_s
        readers = _readers(bench)
        if readers != last_readers:
            last_readers = readers
            changed_s = time.monotonic()
        if len(readers) != count:
            return False
        return time.monotonic() - changed_s >= duration_s

    bench.until(are_stable, f'{count} stable readers')


async def _block_loop(stall_s: float) -> None:
    time.sleep(stall_s)


@when('each iteration of the event loop is delayed by {delay_ms:d} ms')
def when_iterations_delayed(context: Context, delay_ms: int) -> None:
    """Delay every loop iteration until the scenario ends."""
    bench: PeersBench = context.bench
    bench.start_loop_blocker(delay_iterations(delay_ms / 1000))


@when('the event loop is blocked for {stall_s:g} s')
def when_loop_blocked(context: Context, stall_s: float) -> None:
    """Block the event loop once."""
    context.bench.run(_block_loop(stall_s))


@then(
    'for {duration_s:g} s no peer is declared dead and {readers:d} peers'
    ' watch the platform'
)
def then_membership_stable(
    context: Context, duration_s: float, readers: int
) -> None:
    """Poll the liveness records and the readers of all peers."""
    bench: PeersBench = context.bench
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        for name in bench.peers:
            assert not bench.any_peer_considers(name, Liveness.DEAD), name
        reading = _readers(bench)
        assert len(reading) == readers, reading
        bench.run(asyncio.sleep(POLL_S))
