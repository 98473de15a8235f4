"""Work out what an agent spends at the target size."""

from lacewing_daemon.router._links import knowledge_bytes_s

from lacewing_bench.capacity._shared_rows import links
from lacewing_bench.capacity._shared_rows import ping_bytes
from lacewing_bench.capacity._shared_rows import pings
from lacewing_bench.capacity._shared_rows import shared_bytes
from lacewing_bench.capacity._shared_rows import shared_cpu
from lacewing_bench.capacity._shared_rows import shared_memory
from lacewing_bench.capacity._table import Found
from lacewing_bench.capacity._table import Row
from lacewing_bench.capacity._target import BLOCKS_AGENT
from lacewing_bench.capacity._target import EVENTS_AGENT_S
from lacewing_bench.capacity._target import ROUTERS
from lacewing_bench.capacity._target import TEAMS
from lacewing_bench.capacity._target import WORKERS

_US = 1000.0
_KB = 1024.0
_KNOWLEDGE_MESSAGE_BYTES = 45.0

_KNOWLEDGE_S = knowledge_bytes_s(WORKERS)


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
        pings(found['idle link of agent'], ROUTERS),
        Row(
            'load and cache told',
            message * told_s / _US,
            f'{message:.0f} us x {told_s:.0f}/s',
            'message at agent',
            'pushed within a byte budget divided over the links',
        ),
        *shared_cpu(found),
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
        ping_bytes(ROUTERS),
        *shared_bytes(found),
    )


def agent_memory(found: Found) -> tuple[Row, ...]:
    """Return the agent's control memory in MB."""
    view = found['cache view'].at(BLOCKS_AGENT) / _KB
    return (
        links(found['link of agent'], ROUTERS),
        Row(
            'view of the cache',
            view,
            f'{BLOCKS_AGENT:.0f} blocks',
            'cache view',
            'hashes of 8 bytes beside the engine',
        ),
        *shared_memory(found),
    )


def _told_by_agent_s() -> float:
    told = _KNOWLEDGE_S * ROUTERS / WORKERS
    return told / _KNOWLEDGE_MESSAGE_BYTES
