"""Multiply slopes to the target size, a row for each cost of a role."""

from collections.abc import Mapping

import msgspec
from lacewing_common.claim_key import RANGES
from lacewing_daemon._peers_server import PING_EVERY_S
from lacewing_daemon.claims import ClaimLimits
from lacewing_daemon.router._links import knowledge_bytes_s
from lacewing_daemon.router._links import POLL_S

from lacewing_bench.capacity._series import Series
from lacewing_bench.capacity._target import BLOCKS_AGENT
from lacewing_bench.capacity._target import CHANGES_S
from lacewing_bench.capacity._target import EVENTS_AGENT_S
from lacewing_bench.capacity._target import PROCESSES
from lacewing_bench.capacity._target import REGIONS
from lacewing_bench.capacity._target import REQUESTS_ROUTER_S
from lacewing_bench.capacity._target import ROUTERS
from lacewing_bench.capacity._target import TEAMS
from lacewing_bench.capacity._target import WORKERS

_US = 1000.0
_KB = 1024.0
_KNOWLEDGE_MESSAGE_BYTES = 45.0
_PING_BYTES = 34.0
# Measured by its own page: three processes a region watch the heads and
# read the VM list once a second.
_READERS_REGION = 3
_READS_READER_S = 3.0
# Parts, archived head, head and audit record, with a reserve of one.
_WRITES_ROLL = 5

_KNOWLEDGE_S = knowledge_bytes_s(WORKERS)

Found = Mapping[str, Series]


class Row(msgspec.Struct, frozen=True):
    """Hold one cost of a role at the target size."""

    what: str
    value: float
    worked_out: str
    source: str
    mechanism: str


class Table(msgspec.Struct, frozen=True):
    """Hold the rows of one resource of a role, with its limit."""

    role: str
    resource: str
    unit: str
    limit: float
    rows: tuple[Row, ...]

    @property
    def total(self) -> float:
        """Return the sum of the rows."""
        return sum(row.value for row in self.rows)

    @property
    def kept(self) -> bool:
        """Tell whether the sum is within the limit."""
        return self.total <= self.limit


def router_cpu(found: Found) -> tuple[Row, ...]:
    """Return the router's CPU rows, in ms a second."""
    decision = found['decision'].at(WORKERS)
    message = found['message at router'].mean
    told_s = _KNOWLEDGE_S / _KNOWLEDGE_MESSAGE_BYTES
    limits_s = found['limit messages of a router'].at(ROUTERS)
    return (
        Row(
            'decisions',
            decision * REQUESTS_ROUTER_S / _US,
            f'{decision:.0f} us x {REQUESTS_ROUTER_S:.1f}/s',
            'decision',
            'expected cost over homes, hints and a sample',
        ),
        _pings(found['idle link of router'], WORKERS),
        Row(
            'members followed',
            found['members followed'].at(PROCESSES) / POLL_S / _US,
            f'{found["members followed"].at(PROCESSES):.0f} us x'
            f' {1 / POLL_S:.0f}/s',
            'members followed',
            'addresses and leaving agents looked up for all links',
        ),
        Row(
            'load and cache heard',
            message * told_s / _US,
            f'{message:.0f} us x {told_s:.0f}/s',
            'message at router',
            'pushed within a byte budget divided over the links',
        ),
        Row(
            "teams' limits",
            2 * message * limits_s / _US,
            f'2 x {message:.0f} us x {limits_s:.1f}/s',
            'limit messages of a router',
            'demand of many teams in one message to a holder',
        ),
        *_shared_cpu(found),
    )


def agent_cpu(found: Found) -> tuple[Row, ...]:
    """Return the agent's CPU rows, in ms a second."""
    event = found['cache event'].at(BLOCKS_AGENT)
    message = found['message at agent'].mean
    told_s = _told_by_agent_s()
    return (
        Row(
            'cache events',
            event * EVENTS_AGENT_S / _US,
            f'{event:.1f} us x {EVENTS_AGENT_S:.0f}/s',
            'cache event',
            'events stay beside the engine; gaps resynchronise',
        ),
        _pings(found['idle link of agent'], ROUTERS),
        Row(
            'load and cache told',
            message * told_s / _US,
            f'{message:.0f} us x {told_s:.0f}/s',
            'message at agent',
            'pushed within a byte budget divided over the links',
        ),
        *_shared_cpu(found),
    )


def holder_cpu(found: Found) -> tuple[Row, ...]:
    """Return what a holder of limits adds to an agent, in ms a second."""
    held = found['limit holder'].at(ROUTERS)
    message = found['message at agent'].mean
    limits_s = found['limit messages of a router'].at(ROUTERS)
    received_s = limits_s * ROUTERS / 32
    return (
        Row(
            'dividing limits',
            held,
            f'{held:.1f} ms/s at {ROUTERS} routers, {TEAMS} teams',
            'limit holder',
            'max-min fairness; 32 of the agents hold a bucket each',
        ),
        Row(
            'reports and answers',
            2 * message * received_s / _US,
            f'2 x {message:.0f} us x {received_s:.0f}/s',
            'message at agent',
            'open links',
        ),
    )


def router_bytes(found: Found) -> tuple[Row, ...]:
    """Return the router's control bytes a second, both ways."""
    limits = found['limit bytes of a router'].at(ROUTERS)
    return (
        Row(
            'load and cache heard',
            _KNOWLEDGE_S,
            'the budget itself',
            'setting',
            'each link gets its part of the budget',
        ),
        Row(
            "teams' limits",
            limits,
            f'{limits:.0f} B/s at {ROUTERS} routers, {TEAMS} teams',
            'limit bytes of a router',
            'demand of many teams in one message to a holder',
        ),
        _ping_bytes(WORKERS),
        *_shared_bytes(found),
    )


def agent_bytes(found: Found) -> tuple[Row, ...]:
    """Return the agent's control bytes a second, both ways."""
    told = _told_by_agent_s() * _KNOWLEDGE_MESSAGE_BYTES
    return (
        Row(
            'load and cache told',
            told,
            f'{_KNOWLEDGE_S:.0f} B/s x {ROUTERS} / {WORKERS}',
            'setting',
            'each link gets its part of the budget',
        ),
        _ping_bytes(ROUTERS),
        *_shared_bytes(found),
    )


def router_memory(found: Found) -> tuple[Row, ...]:
    """Return the router's control memory in MB."""
    return (_links(found['link of router'], WORKERS), *_shared_memory(found))


def agent_memory(found: Found) -> tuple[Row, ...]:
    """Return the agent's control memory in MB."""
    view = found['cache view'].at(BLOCKS_AGENT) / _KB
    return (
        _links(found['link of agent'], ROUTERS),
        Row(
            'view of the cache',
            view,
            f'{BLOCKS_AGENT:.0f} blocks',
            'cache view',
            'hashes of 8 bytes beside the engine',
        ),
        *_shared_memory(found),
    )


def platform_reads() -> tuple[Row, ...]:
    """Return the platform's reads a second, all processes together."""
    readers = _READERS_REGION * REGIONS
    return (
        Row(
            'heads watched, VM list read',
            readers * _READS_READER_S,
            f'{readers} readers x {_READS_READER_S:.0f}/s',
            'rollout',
            'the processes of lowest hash read, all others hear from peers',
        ),
        Row(
            'parts of a roll',
            readers * 2 * CHANGES_S,
            f'{readers} readers x 2 parts x {CHANGES_S:.3f}/s',
            'rollout',
            'a process fetches missing parts from the peer that offered',
        ),
        Row(
            'processes that lost all peers',
            100.0,
            'bound of the fallback, over all processes',
            'setting',
            'reads spread by the number of members last known',
        ),
    )


def platform_writes() -> tuple[Row, ...]:
    """Return the platform's writes a second, all processes together."""
    claims = RANGES / ClaimLimits().pace_s
    return (
        Row(
            'rolls, archive and audit',
            _WRITES_ROLL * CHANGES_S,
            f'{_WRITES_ROLL} x {CHANGES_S:.3f}/s',
            'bundle-cost',
            'one conditional update of the head a roll',
        ),
        Row(
            'claims',
            claims,
            f'{RANGES} ranges / {ClaimLimits().pace_s} s, the bound of one'
            f' service',
            'claims-cost',
            'claims of one range in one update, paced',
        ),
    )


def tables(found: Found, limits: Mapping[str, float]) -> tuple[Table, ...]:
    """Return all tables of the page."""
    cpu, memory, sent = limits['cpu'], limits['memory'], limits['bytes']
    return (
        Table('router', 'CPU', 'ms/s', cpu, router_cpu(found)),
        Table('router', 'bytes', 'B/s', sent, router_bytes(found)),
        Table('router', 'memory', 'MB', memory, router_memory(found)),
        Table('agent', 'CPU', 'ms/s', cpu, agent_cpu(found)),
        Table('agent', 'bytes', 'B/s', sent, agent_bytes(found)),
        Table('agent', 'memory', 'MB', memory, agent_memory(found)),
        Table('limit holder', 'CPU added', 'ms/s', cpu, holder_cpu(found)),
        Table('platform', 'reads', '1/s', limits['reads'], platform_reads()),
        Table(
            'platform', 'writes', '1/s', limits['writes'], platform_writes()
        ),
    )


def _told_by_agent_s() -> float:
    told = _KNOWLEDGE_S * ROUTERS / WORKERS
    return told / _KNOWLEDGE_MESSAGE_BYTES


def _pings(idle: Series, links: int) -> Row:
    cost = idle.slope * links
    return Row(
        'open links, idle',
        cost,
        f'{idle.slope * _US:.1f} us/s x {links} links',
        idle.name,
        f'a ping on each link every {PING_EVERY_S:.0f} s',
    )


def _ping_bytes(links: int) -> Row:
    return Row(
        'pings',
        links * _PING_BYTES / PING_EVERY_S,
        f'{_PING_BYTES:.0f} B x {links} / {PING_EVERY_S:.0f} s',
        'frame size of HTTP/2',
        'a vanished peer is found without traffic of its own',
    )


def _shared_cpu(found: Found) -> tuple[Row, ...]:
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


def _shared_bytes(found: Found) -> tuple[Row, ...]:
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


def _shared_memory(found: Found) -> tuple[Row, ...]:
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


def _links(memory: Series, links: int) -> Row:
    return Row(
        'open links',
        memory.slope * links / _KB,
        f'{memory.slope:.1f} KB x {links}',
        memory.name,
        'one stream for each router and agent',
    )
