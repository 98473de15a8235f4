"""Measure an agent's view of its engine's cache against blocks."""

from lacewing_bench.capacity._series import fit
from lacewing_bench.capacity._series import Series
from lacewing_bench.capacity._target import EVENTS_AGENT_S
from lacewing_bench.decision_cost._following import measure_following

_SIZES = (5000, 10_000, 21_000)


def measure_cache() -> tuple[Series, ...]:
    """Measure CPU of an event and memory of the view."""
    events: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    for blocks in _SIZES:
        cost = measure_following(blocks, EVENTS_AGENT_S)
        events.append((blocks, cost.event_us))
        memory.append((blocks, cost.view_kb))
    return (
        fit('cache event', 'us', 'block held', events),
        fit('cache view', 'KB', 'block held', memory),
    )
