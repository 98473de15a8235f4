"""Run peers on loopback and compare what they hold."""

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
    """Start peers of which one in each region has to read."""
    context.bench = PeersBench(context)
    context.bench.store = FakeStore()
    context.bench.start(number)


@given('peer "{name}" listens and joins only after "{other}" asked it')
def given_late_join(context: Context, name: str, other: str) -> None:
    """Have one peer pull the table of another that has not joined yet."""
    context.bench = PeersBench(context)
    late = context.bench.listen(name, 0)
    context.bench.add(other, 1)
    context.bench.run(late.join())


@then('the tables of all peers are equal')
def then_equal_tables(context: Context) -> None:
    """Wait until all hashes are the same."""
    bench = context.bench
    bench.until(
        lambda: len({p.node.table.hash for p in bench.peers.values()}) == 1,
        'equal tables',
    )


@given('no seed is known to anybody')
def given_no_seed(context: Context) -> None:
    """Leave the peers what they know of each other."""
    context.bench.contacts.clear()


@given('"{name}" checks no sign-off')
def given_no_check(context: Context, name: str) -> None:
    """Take the guard of one peer away."""
    context.bench.peers[name].guard_strict = False


@given('a third of the messages are lost')
def given_loss(context: Context) -> None:
    """Lose messages at random."""
    context.bench.network.lose(0.33)


@when('a fetch takes {fetch_ms:d} ms longer')
def when_slow(context: Context, fetch_ms: int) -> None:
    """Let documents come later than all other answers."""
    context.bench.network.fetch_s = fetch_ms / 1000


@when('"{name}" takes version {version:d} of the bundle')
def when_rolls(context: Context, name: str, version: int) -> None:
    """Give a version to one peer."""
    context.bench.roll(name, version, b'bundle %d' % version)


@when(
    '"{name}" takes version {version:d} with the parts "{one}" and "{other}"'
)
def when_rolls_parts(
    context: Context, name: str, version: int, one: str, other: str
) -> None:
    """Give a version of two parts to one peer."""
    context.bench.roll(name, version, one.encode(), other.encode())


@when(
    '"{one}" takes version {first:d} and "{other}" version {second:d} of the'
    ' bundle'
)
def when_rolls_twice(
    context: Context, one: str, first: int, other: str, second: int
) -> None:
    """Give two versions to two peers with no time between."""
    context.bench.roll(one, first, b'one')
    context.bench.roll(other, second, b'other')


@when('peer "{name}" is cut off')
def when_cut_off(context: Context, name: str) -> None:
    """Cut all paths of a peer."""
    bench = context.bench
    bench.network.put(bench.peers[name].address, 1)


@when('peer "{name}" is back')
def when_back(context: Context, name: str) -> None:
    """Mend the paths of a peer."""
    bench = context.bench
    bench.network.put(bench.peers[name].address, 0)


@when('version {version:d} is in force at all peers but "{name}"')
def when_in_force_but(context: Context, version: int, name: str) -> None:
    """Wait for a version at the others."""
    bench = context.bench
    others = [peer for peer in bench.peers.values() if peer.name != name]
    bench.until(
        lambda: all(peer.version == version for peer in others),
        f'version {version} at the others',
    )
    assert bench.peers[name].version < version


@when('the others have stopped telling of it')
def when_told(context: Context) -> None:
    """Wait until only the hashes show what is new."""
    bench = context.bench
    bench.until(
        lambda: all(
            peer.node.pending_updates == 0 or peer.version == 0
            for peer in bench.peers.values()
        ),
        'end of the news',
    )


@when('"{name}" is given version {version:d} of the bundle')
def when_given(context: Context, name: str, version: int) -> None:
    """Give a version to one peer that it ought not to take."""
    assert context.bench.offer(name, version, b'old') is False


@when('a peer joins that holds version {version:d} of the bundle')
def when_stale_joins(context: Context, version: int) -> None:
    """Start a peer that is cut off, give it a bundle, then let it in."""
    bench = context.bench
    peer = bench.add('late', 5, group=1)
    bench.roll('late', version, b'bundle %d' % version)
    assert peer.version == version
    bench.network.put(peer.address, 0)
    bench.until_all_know(len(bench.peers))


@when('all peers but "{survivor}" start again')
def when_restart_all(context: Context, survivor: str) -> None:
    """Kill all but one, then start them with the survivor as their seed."""
    bench = context.bench
    names = [name for name in bench.peers if name != survivor]
    for name in names:
        bench.kill(name)
    bench.contacts[:] = [bench.peers[survivor].address]
    for index, name in enumerate(names):
        assert bench.add(name, index).versions[:1] != []


@when('peer "{name}" starts again')
def when_restarts(context: Context, name: str) -> None:
    """Kill a peer and start it with a new address."""
    bench = context.bench
    bench.kill(name)
    bench.add(name, 2)


@when('no more messages are lost')
def when_no_loss(context: Context) -> None:
    """Mend the network."""
    context.bench.network.lose(0.0)


@when('version {version:d} of the bundle is written to the platform')
def when_written(context: Context, version: int) -> None:
    """Write parts and head."""
    context.bench.write_roll(version)


@when('the platform goes down for all peers')
def when_platform_down(context: Context) -> None:
    """Refuse all calls."""
    context.bench.store.set_faults(FaultSwitches(down=Down.REFUSE))


@when('{number:d} peers watch the platform')
@then('{number:d} peers watch the platform')
def when_watch(context: Context, number: int) -> None:
    """Wait until so many watches wait."""
    bench = context.bench
    bench.until(
        lambda: bench.store.counts.waiting_watches == number,
        f'{number} watches',
    )


@when('the peers that watch the platform are killed')
def when_readers_killed(context: Context) -> None:
    """End all readers without a word."""
    bench = context.bench
    reading = [peer.name for peer in bench.peers.values() if peer.reading]
    assert len(reading) == 2, reading
    for name in reading:
        bench.kill(name)


@when('all peers start again at once')
def when_herd(context: Context) -> None:
    """Kill all peers, then start all with nothing but a seed."""
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
    """Write a row of the list."""
    bench = context.bench
    address = bench.peers[name].address
    bench.store.service.put_vm(Vm(name, address, 'z1', VmState(state)))
    bench.store.service.set_faults(FaultSwitches(vm_lag_s=0.0))


@then('the role of each peer hears that the VM of "{name}" is {state}')
def then_vm_state(context: Context, name: str, state: str) -> None:
    """Wait until all peers give the state of the list."""
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
    """Count at the platform."""
    calls = context.bench.store.counts.calls
    assert 1 <= calls['get'].get('parts', 0) <= number, calls


@when('a new peer joins')
def when_joins(context: Context) -> None:
    """Start one more peer."""
    context.bench.add('new', 3)


@when('"{name}" has fetched and refused part "{part}"')
def when_refused(context: Context, name: str, part: str) -> None:
    """Wait until a part has been fetched by somebody for nothing."""
    bench = context.bench
    digest = part_digest(part.encode())
    bench.until(
        lambda: bench.network.parts_fetched.count(digest) >= 2,
        f'fetch of {part}',
    )
    assert bench.peers[name].node.documents.part(digest) is None


@when('peer "{name}" is killed')
def when_killed(context: Context, name: str) -> None:
    """End a peer without a word."""
    context.killed = context.bench.kill(name)


@when('some peer suspects "{name}"')
def when_suspected(context: Context, name: str) -> None:
    """Wait for a suspicion."""
    bench = context.bench
    bench.until(lambda: bench.some_think(name, Liveness.SUSPECT), 'suspicion')


@when('the path between "{one}" and "{other}" breaks')
def when_path_breaks(context: Context, one: str, other: str) -> None:
    """Cut one path."""
    bench = context.bench
    peers = bench.peers
    bench.network.cut(peers[one].address, peers[other].address)


@when('"{one}" tries "{other}" through others')
def when_tries(context: Context, one: str, other: str) -> None:
    """Wait until both have come upon the broken path and asked others."""
    network = context.bench.network
    context.bench.until(lambda: network.refused >= 6, 'calls of a cut path')


@when(
    '"{one}", "{two}" and "{three}" lose the others until they think them dead'
)
def when_halves(context: Context, one: str, two: str, three: str) -> None:
    """Cut the fleet in two."""
    bench = context.bench
    half = [one, two, three]
    for name in half:
        bench.network.put(bench.peers[name].address, 1)
    # Suspects are still called; only the dead are left alone.
    bench.until(
        lambda: all(
            peer.node.counts.dead == len(half) for peer in bench.peers.values()
        ),
        'halves that think each other dead',
    )


@when('the halves can hear each other again')
def when_halves_meet(context: Context) -> None:
    """Mend all paths."""
    bench = context.bench
    for peer in bench.peers.values():
        bench.network.put(peer.address, 0)


@when('peer "{name}" is leaving')
def when_leaving(context: Context, name: str) -> None:
    """Have a peer say that it takes no new work."""
    context.bench.run(context.bench.peers[name].node.announce_leaving())


@when('version {version:d} is in force at all peers')
@then('version {version:d} is in force at all peers')
def then_in_force(context: Context, version: int) -> None:
    """Wait for a version everywhere."""
    context.bench.until_version(version)


@then(
    'part "{one}" was fetched {first:d} times and part "{other}"'
    ' {second:d} times'
)
def then_fetched(
    context: Context, one: str, first: int, other: str, second: int
) -> None:
    """Count how often parts were asked for."""
    fetched = context.bench.network.parts_fetched
    assert fetched.count(part_digest(one.encode())) == first, fetched
    assert fetched.count(part_digest(other.encode())) == second, fetched


@then('no peer ever went back to an earlier version')
def then_monotonic(context: Context) -> None:
    """Look at all versions that were in force."""
    for peer in context.bench.peers.values():
        assert peer.versions == sorted(set(peer.versions)), peer.versions


@then('only "{name}" ever had version {version:d} in force')
def then_only(context: Context, name: str, version: int) -> None:
    """Look for a version at all peers."""
    for peer in context.bench.peers.values():
        assert (version in peer.versions) == (peer.name == name), peer.name


@then('all {number:d} peers know each other')
def then_all_know(context: Context, number: int) -> None:
    """Wait until all know so many members alive."""
    context.bench.until_all_know(number)


@then('all agree that "{name}" is dead')
def then_dead(context: Context, name: str) -> None:
    """Wait for the agreement of all."""
    context.bench.until_all_think(name, _is_dead)


@then('no peer gives the address of "{name}" to its role')
def then_no_address(context: Context, name: str) -> None:
    """Look at what routers are told."""
    address = context.killed.address
    for peer in context.bench.peers.values():
        assert address not in peer.node.members.agent_addresses(), name


@then('all agree that "{name}" is alive')
def then_alive(context: Context, name: str) -> None:
    """Wait until all hold the refutation."""
    context.bench.until_all_think(name, _is_refuted)


@then('all agree that "{name}" is leaving')
def then_leaving(context: Context, name: str) -> None:
    """Wait for the agreement of all."""
    bench = context.bench
    bench.until_all_think(name, _is_leaving)
    address = bench.peers[name].address
    for peer in bench.peers.values():
        assert peer.node.members.is_leaving(address), peer.name


@then('all agree on the new address of "{name}"')
def then_address(context: Context, name: str) -> None:
    """Wait until all hold the record of the new run."""
    bench = context.bench
    address = bench.peers[name].address
    bench.until_all_think(name, lambda record: record.address == address)
    bench.until_all_know(4)


@then('nobody suspects "{one}" or "{other}"')
def then_nobody_suspects(context: Context, one: str, other: str) -> None:
    """Look at what all think, over several periods of exchange."""
    bench = context.bench
    for _ in range(40):
        for name in (one, other):
            assert not bench.some_think(name, Liveness.SUSPECT), name
            assert not bench.some_think(name, Liveness.DEAD), name
        bench.run(asyncio.sleep(0.01))
