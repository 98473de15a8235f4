"""Work out what every process spends, router or agent."""

from lacewing_daemon._peers_server import PING_EVERY_S

from lacewing_bench.capacity._series import Series
from lacewing_bench.capacity._table import Found
from lacewing_bench.capacity._table import Row
from lacewing_bench.capacity._target import CHANGES_S
from lacewing_bench.capacity._target import PROCESSES
from lacewing_bench.capacity._target import TEAMS

_US = 1000.0
_KB = 1024.0
_PING_BYTES = 34.0


def pings(idle: Series, links: int) -> Row:
    cost = idle.slope * links
    return Row(
        'open links, idle',
        cost,
        f'{idle.slope * _US:.1f} us/s x {links} links',
        idle.name,
        f'a ping on each link every {PING_EVERY_S:.0f} s',
    )


def ping_bytes(links: int) -> Row:
    return Row(
        'pings',
        links * _PING_BYTES / PING_EVERY_S,
        f'{_PING_BYTES:.0f} B x {links} / {PING_EVERY_S:.0f} s',
        'frame size of HTTP/2',
        'a vanished peer is found without traffic of its own',
    )


def shared_cpu(found: Found) -> tuple[Row, ...]:
    exchange = found['exchange, both ends'].at(PROCESSES)
    roll = found['check of a roll'].at(TEAMS)
    return (
        Row(
            'exchanges with peers',
            exchange / _US,
            f'{exchange:.0f} us x 1/s (one begun, one answered)',
            'exchange, both ends',
            'one random peer a second, whatever the size of the fleet',
        ),
        Row(
            'rolls checked',
            roll * CHANGES_S,
            f'{roll:.1f} ms x {CHANGES_S:.3f}/s',
            'check of a roll',
            'only the parts that a roll changed are read',
        ),
    )


def shared_bytes(found: Found) -> tuple[Row, ...]:
    exchange = found['exchange, both ways'].mean
    edit = found['bytes of an edit'].at(TEAMS)
    return (
        Row(
            'exchanges with peers',
            2 * exchange,
            f'2 x {exchange:.0f} B x 1/s (one begun, one answered)',
            'exchange, both ways',
            'one random peer a second, whatever the size of the fleet',
        ),
        Row(
            'rolls',
            2 * edit * CHANGES_S,
            f'2 x {edit:.0f} B x {CHANGES_S:.3f}/s (fetched, passed on)',
            'bytes of an edit',
            'parts by content hash, from peer to peer',
        ),
    )


def shared_memory(found: Found) -> tuple[Row, ...]:
    table = found['member table'].at(PROCESSES) / _KB
    bundle = found['bundle in memory'].at(TEAMS) / _KB
    return (
        Row(
            'member table',
            table,
            f'{PROCESSES} members',
            'member table',
            'a record of each process',
        ),
        Row(
            'bundle, parts and decoded',
            bundle,
            f'{TEAMS} teams',
            'bundle in memory',
            'one replica for serving and offering',
        ),
    )


def links(memory: Series, links: int) -> Row:
    return Row(
        'open links',
        memory.slope * links / _KB,
        f'{memory.slope:.1f} KB x {links}',
        memory.name,
        'one stream for each router and agent',
    )
