"""Work out what a router spends at the target size."""

from lacewing_daemon.router._links import knowledge_bytes_s
from lacewing_daemon.router._links import POLL_S

from lacewing_bench.capacity._shared_rows import links
from lacewing_bench.capacity._shared_rows import ping_bytes
from lacewing_bench.capacity._shared_rows import pings
from lacewing_bench.capacity._shared_rows import shared_bytes
from lacewing_bench.capacity._shared_rows import shared_cpu
from lacewing_bench.capacity._shared_rows import shared_memory
from lacewing_bench.capacity._table import Found
from lacewing_bench.capacity._table import Row
from lacewing_bench.capacity._target import PROCESSES
from lacewing_bench.capacity._target import REQUESTS_ROUTER_S
from lacewing_bench.capacity._target import ROUTERS
from lacewing_bench.capacity._target import TEAMS
from lacewing_bench.capacity._target import WORKERS

_US = 1000.0
_KNOWLEDGE_MESSAGE_BYTES = 45.0

_KNOWLEDGE_S = knowledge_bytes_s(WORKERS)


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
        pings(found['idle link of router'], WORKERS),
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
        *shared_cpu(found),
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
        ping_bytes(WORKERS),
        *shared_bytes(found),
    )


def router_memory(found: Found) -> tuple[Row, ...]:
    """Return the router's control memory in MB."""
    return (links(found['link of router'], WORKERS), *shared_memory(found))
