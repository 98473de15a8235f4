"""Put the tables of the page together."""

from collections.abc import Mapping

from lacewing_bench.capacity._agent_rows import agent_bytes
from lacewing_bench.capacity._agent_rows import agent_cpu
from lacewing_bench.capacity._agent_rows import agent_memory
from lacewing_bench.capacity._agent_rows import holder_cpu
from lacewing_bench.capacity._platform_rows import platform_reads
from lacewing_bench.capacity._platform_rows import platform_writes
from lacewing_bench.capacity._router_rows import router_bytes
from lacewing_bench.capacity._router_rows import router_cpu
from lacewing_bench.capacity._router_rows import router_memory
from lacewing_bench.capacity._table import Found
from lacewing_bench.capacity._table import Table


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
