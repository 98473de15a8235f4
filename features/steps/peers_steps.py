"""Run peers on loopback and compare their members and documents."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_bench.fakes import FakeStore
from lacewing_bench.platform import Down
from lacewing_bench.platform import FaultSwitches
from lacewing_common.document import part_digest
from lacewing_common.store import Vm
from lacewing_common.store import VmState
from lacewing_common.wire_peers import Liveness
from lacewing_common.wire_peers import MemberRecord
from support.peers_bench import PeersBench


def _is_dead(record: MemberRecord) -> bool:
    return record.liveness is Liveness.DEAD


def _is_refuted(record: MemberRecord) -> bool:
    joined = 1
    alive = record.liveness is Liveness.ALIVE
    return alive and record.revision > joined


def _is_leaving(record: MemberRecord) -> bool:
    return record.leaving


@given('{number:d} peers')
def given_peers(context: Context, number: int) -> None:
    """Start peers and wait until they know each other."""
    context.bench = PeersBench(context)
    context.bench.start(number)


@given('{number:d} peers in two regions and a platform')
def given_peers_platform(context: Context, number: int) -> None:
    """Start peers of which one per region reads from the platform."""
    context.bench = PeersBench(context)
    context.bench.store = FakeStore()
    context.bench.start(number)


@given('peer "{name}" listens and joins only after "{other}" called it')
def given_late_join(context: Context, name: str, other: str) -> None:
    """Let a peer pull the table of another that has not joined yet."""
    context.bench = PeersBench(context)
    late = context.bench.listen(name, 0)
    context.bench.add(other, 1)
    context.bench.run(late.join())


@then('the tables of all peers are equal')
def then_equal_tables(context: Context) -> None:
    """Wait until the table hashes of all peers are equal."""
    bench = context.bench
    bench.until(
        lambda: len({p.node.table.hash for p in bench.peers.values()}) == 1,
        'equal tables',
    )


@given('no peer has a seed')
def given_no_seed(context: Context) -> None:
    """Remove the seeds; known members stay."""
    context.bench.contacts.clear()


@given('"{name}" does not validate bundles')
def given_no_validation(context: Context, name: str) -> None:
    """Disable validation at one peer."""
    context.bench.peers[name].validates_bundles = False


@given('a third of the messages are lost')
def given_loss(context: Context) -> None:
    """Lose a third of the messages at random."""
    context.bench.network.set_loss(0.33)


@when('each fetch is delayed by {fetch_ms:d} ms')
def when_fetches_delayed(context: Context, fetch_ms: int) -> None:
    """Delay documents so that they arrive after other answers."""
    context.bench.network.fetch_delay_s = fetch_ms / 1000


@when('"{name}" accepts version {version:d} of the bundle')
def when_accepts(context: Context, name: str, version: int) -> None:
    """Offer a newer version to one peer."""
    context.bench.accept(name, version, b'bundle %d' % version)


@when(
    '"{name}" accepts version {version:d} with the parts "{one}" and "{other}"'
)
def when_accepts_parts(
    context: Context, name: str, version: int, one: str, other: str
) -> None:
    """Offer a newer version of two parts to one peer."""
    context.bench.accept(name, version, one.encode(), other.encode())


@when(
    '"{one}" accepts version {first:d} and "{other}" version {second:d} of the'
    ' bundle'
)
def when_two_accept(
    context: Context, one: str, first: int, other: str, second: int
) -> None:
    """Offer two versions to two peers without delay between them."""
    context.bench.accept(one, first, b'one')
    context.bench.accept(other, second, b'other')


@when('peer "{name}" is disconnected')
def when_disconnected(context: Context, name: str) -> None:
    """Interrupt all paths of a peer."""
    bench = context.bench
    bench.network.set_group(bench.peers[name].address, 1)


@when('peer "{name}" is reconnected')
def when_reconnected(context: Context, name: str) -> None:
    """Restore the paths of a peer."""
    bench = context.bench
    bench.network.set_group(bench.peers[name].address, 0)


@when('version {version:d} is active at all peers but "{name}"')
def when_active_but(context: Context, version: int, name: str) -> None:
    """Wait for a version at all other peers."""
    bench = context.bench
    others = [peer for peer in bench.peers.values() if peer.name != name]
    bench.until(
        lambda: all(peer.version == version for peer in others),
        f'version {version} at the other peers',
    )
    assert bench.peers[name].version < version


@when('the other peers have no pending updates')
def when_no_pending_updates(context: Context) -> None:
    """Wait until only the hashes reveal the new version."""
    bench = context.bench
    bench.until(
        lambda: all(
            peer.node.pending_updates == 0 or peer.version == 0
            for peer in bench.peers.values()
        ),
        'end of the updates',
    )


@when('"{name}" is offered version {version:d} of the bundle')
def when_offered_older(context: Context, name: str, version: int) -> None:
    """Offer an older version; the peer must refuse it."""
    assert context.bench.offer(name, version, b'old') is False


@when('a peer joins with version {version:d} of the bundle')
def when_stale_peer_joins(context: Context, version: int) -> None:
    """Start a disconnected peer, offer it a bundle, then connect it."""
    bench = context.bench
    peer = bench.add('late', 5, group=1)
    bench.accept('late', version, b'bundle %d' % version)
    assert peer.version == version
    bench.network.set_group(peer.address, 0)
    bench.until_all_know(len(bench.peers))


@when('all peers but "{survivor}" restart')
def when_others_restart(context: Context, survivor: str) -> None:
    """Kill all but one, then start them with the survivor as seed."""
    bench = context.bench
    names = [name for name in bench.peers if name != survivor]
    for name in names:
        bench.kill(name)
    bench.contacts[:] = [bench.peers[survivor].address]
    for index, name in enumerate(names):
        assert bench.add(name, index).versions[:1] != []


@when('peer "{name}" restarts')
def when_restarts(context: Context, name: str) -> None:
    """Kill a peer and start it on a new address."""
    bench = context.bench
    bench.kill(name)
    bench.add(name, 2)


@when('no more messages are lost')
def when_no_loss(context: Context) -> None:
    """Stop losing messages."""
    context.bench.network.set_loss(0.0)


@when('version {version:d} of the bundle is written to the platform')
def when_written(context: Context, version: int) -> None:
    """Write parts and head to the platform."""
    context.bench.write_bundle(version)


@when('the platform goes down for all peers')
def when_platform_down(context: Context) -> None:
    """Let the platform refuse all calls."""
    context.bench.store.set_faults(FaultSwitches(down=Down.REFUSE))


@when('{number:d} peers watch the platform')
@then('{number:d} peers watch the platform')
def when_watch(context: Context, number: int) -> None:
    """Wait until the platform has this many waiting watches."""
    bench = context.bench
    bench.until(
        lambda: bench.store.counts.waiting_watches == number,
        f'{number} watches',
    )


@when('the peers that watch the platform are killed')
def when_readers_killed(context: Context) -> None:
    """Kill all readers without notice to their peers."""
    bench = context.bench
    reading = [peer.name for peer in bench.peers.values() if peer.is_reading]
    assert len(reading) == 2, reading
    for name in reading:
        bench.kill(name)


@when('all peers restart at once')
def when_all_restart(context: Context) -> None:
    """Kill all peers, then start them all with only a seed."""
    bench = context.bench
    names = list(bench.peers)
    for name in names:
        bench.kill(name)
    bench.contacts.clear()
    bench.store.service.reset_counts()
    for index, name in enumerate(names):
        bench.add(name, index)


@when('the VM list shows the VM of "{name}" as {state}')
def when_listed(context: Context, name: str, state: str) -> None:
    """Write a row of the VM list."""
    bench = context.bench
    address = bench.peers[name].address
    bench.store.service.put_vm(Vm(name, address, 'z1', VmState(state)))
    bench.store.service.set_faults(FaultSwitches(vm_lag_s=0.0))


@then('each peer reports the VM of "{name}" as {state}')
def then_vm_state(context: Context, name: str, state: str) -> None:
    """Wait until all peers report the state in the list."""
    bench = context.bench
    address = bench.peers[name].address
    leaving = state == VmState.LEAVING.value
    bench.until(
        lambda: all(
            peer.node.members.is_leaving(address) is leaving
            for peer in bench.peers.values()
        ),
        f'{state} of {name}',
    )


@then('the parts were read from the platform at most {number:d} times')
def then_parts_read(context: Context, number: int) -> None:
    """Check the read counts of the platform."""
    calls = context.bench.store.counts.calls
    assert 1 <= calls['get'].get('parts', 0) <= number, calls


@when('a new peer joins')
def when_joins(context: Context) -> None:
    """Start one more peer."""
    context.bench.add('new', 3)


@when('"{name}" has fetched and refused part "{part}"')
def when_refused(context: Context, name: str, part: str) -> None:
    """Wait for two fetches of a part; the peer must not store it."""
    bench = context.bench
    digest = part_digest(part.encode())
    bench.until(
        lambda: bench.network.parts_fetched.count(digest) >= 2,
        f'fetch of {part}',
    )
    assert bench.peers[name].node.documents.part(digest) is None


@when('peer "{name}" is killed')
def when_killed(context: Context, name: str) -> None:
    """Kill a peer without notice to its peers."""
    context.killed = context.bench.kill(name)


@when('some peer suspects "{name}"')
def when_suspected(context: Context, name: str) -> None:
    """Wait until any peer suspects another."""
    bench = context.bench
    bench.until(
        lambda: bench.any_peer_considers(name, Liveness.SUSPECT), 'suspicion'
    )


@when('the path between "{one}" and "{other}" breaks')
def when_path_breaks(context: Context, one: str, other: str) -> None:
    """Interrupt the path between two peers."""
    bench = context.bench
    peers = bench.peers
    bench.network.interrupt(peers[one].address, peers[other].address)


@when('"{one}" probes "{other}" through other peers')
def when_probes_indirectly(context: Context, one: str, other: str) -> None:
    """Wait for enough calls of the broken path for indirect probes."""
    network = context.bench.network
    context.bench.until(
        lambda: network.interrupted_calls >= 6, 'calls of an interrupted path'
    )


@when(
    '"{one}", "{two}" and "{three}" are partitioned until all declare the'
    ' others dead'
)
def when_partitioned(context: Context, one: str, two: str, three: str) -> None:
    """Partition the fleet until each side declares the other dead."""
    bench = context.bench
    half = [one, two, three]
    for name in half:
        bench.network.set_group(bench.peers[name].address, 1)
    # Suspects are still called, so wait until the members are dead.
    bench.until(
        lambda: all(
            peer.node.counts.dead == len(half) for peer in bench.peers.values()
        ),
        'both sides dead to each other',
    )


@when('the partition heals')
def when_partition_heals(context: Context) -> None:
    """Restore all paths."""
    bench = context.bench
    for peer in bench.peers.values():
        bench.network.set_group(peer.address, 0)


@when('peer "{name}" is leaving')
def when_leaving(context: Context, name: str) -> None:
    """Let a peer announce that it accepts no new work."""
    context.bench.run(context.bench.peers[name].node.announce_leaving())


@when('version {version:d} is active at all peers')
@then('version {version:d} is active at all peers')
def then_active(context: Context, version: int) -> None:
    """Wait until a version is active at all peers."""
    context.bench.until_version(version)


@then(
    'part "{one}" was fetched {first:d} times and part "{other}"'
    ' {second:d} times'
)
def then_fetched(
    context: Context, one: str, first: int, other: str, second: int
) -> None:
    """Check how often each part was fetched."""
    fetched = context.bench.network.parts_fetched
    assert fetched.count(part_digest(one.encode())) == first, fetched
    assert fetched.count(part_digest(other.encode())) == second, fetched


@then('no peer ever reverted to an earlier version')
def then_monotonic(context: Context) -> None:
    """Check that the active versions of each peer only increased."""
    for peer in context.bench.peers.values():
        assert peer.versions == sorted(set(peer.versions)), peer.versions


@then('only "{name}" ever had version {version:d} active')
def then_only(context: Context, name: str, version: int) -> None:
    """Check which peers ever activated a version."""
    for peer in context.bench.peers.values():
        assert (version in peer.versions) == (peer.name == name), peer.name


@then('all {number:d} peers know each other')
def then_all_know(context: Context, number: int) -> None:
    """Wait until all peers know this many live members."""
    context.bench.until_all_know(number)


@then('all agree that "{name}" is dead')
def then_dead(context: Context, name: str) -> None:
    """Wait for the agreement of all."""
    context.bench.until_all_agree(name, _is_dead)


@then('no peer lists the address of "{name}" as an agent')
def then_not_listed(context: Context, name: str) -> None:
    """Check the agent addresses of all peers."""
    address = context.killed.address
    for peer in context.bench.peers.values():
        assert address not in peer.node.members.agent_addresses(), name


@then('all agree that "{name}" is alive')
def then_alive(context: Context, name: str) -> None:
    """Wait until all peers have the refutation."""
    context.bench.until_all_agree(name, _is_refuted)


@then('all agree that "{name}" is leaving')
def then_leaving(context: Context, name: str) -> None:
    """Wait for the agreement of all."""
    bench = context.bench
    bench.until_all_agree(name, _is_leaving)
    address = bench.peers[name].address
    for peer in bench.peers.values():
        assert peer.node.members.is_leaving(address), peer.name


@then('all agree on the new address of "{name}"')
def then_address(context: Context, name: str) -> None:
    """Wait until all have the record of the new incarnation."""
    bench = context.bench
    address = bench.peers[name].address
    bench.until_all_agree(name, lambda record: record.address == address)
    bench.until_all_know(4)


@then('no peer suspects "{one}" or "{other}"')
def then_no_suspicion(context: Context, one: str, other: str) -> None:
    """Check the liveness at all peers over several exchange periods."""
    bench = context.bench
    for _ in range(40):
        for name in (one, other):
            assert not bench.any_peer_considers(name, Liveness.SUSPECT), name
            assert not bench.any_peer_considers(name, Liveness.DEAD), name
        bench.run(asyncio.sleep(0.01))
