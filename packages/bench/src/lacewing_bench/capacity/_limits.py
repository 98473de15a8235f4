"""Measure the sharing of teams' limits against routers and teams."""

import asyncio

from lacewing_bench.capacity._series import fit
from lacewing_bench.capacity._series import Series
from lacewing_bench.limits_error import cost

_SIZES = ((30, 250, 690.0), (110, 830, 2530.0), (330, 2500, 7600.0))


def measure_limits() -> tuple[Series, ...]:
    """Measure messages, bytes and CPU at three sizes of a whole fleet."""
    messages: list[tuple[float, float]] = []
    sent: list[tuple[float, float]] = []
    holder: list[tuple[float, float]] = []
    for routers, teams, requests_s in _SIZES:
        row = asyncio.run(cost(routers, teams, requests_s))
        messages.append((routers, row.messages_s))
        sent.append((routers, row.bytes_s))
        holder.append((routers, row.holder_ms_s))
    return (
        fit('limit messages of a router', '1/s', 'router', messages),
        fit('limit bytes of a router', 'B/s', 'router', sent),
        fit('limit holder', 'ms/s', 'router', holder),
    )
