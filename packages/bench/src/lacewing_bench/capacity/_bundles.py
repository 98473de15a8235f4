"""Measure a process's bundle against the number of teams."""

import tracemalloc

import msgspec
from lacewing_common.bundle import Bundle
from lacewing_common.bundles import new_key

from lacewing_bench.bundle_cost import make_bundle
from lacewing_bench.bundle_cost import measure
from lacewing_bench.capacity._series import fit
from lacewing_bench.capacity._series import Series

_SIZES = (250, 1000, 2500)


def measure_bundles() -> tuple[Series, ...]:
    """Measure check times, bytes moved by an edit, and memory."""
    rolls: list[tuple[float, float]] = []
    colds: list[tuple[float, float]] = []
    edits: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    for teams in _SIZES:
        cost = measure(teams)
        rolls.append((teams, cost.roll_ms))
        colds.append((teams, cost.cold_ms))
        edits.append((teams, cost.edit_bytes))
        held_kb = _decoded_kb(teams) + cost.bundle_bytes / 1024
        memory.append((teams, held_kb))
    return (
        fit('check of a roll', 'ms', 'team', rolls),
        fit('check of a first bundle', 'ms', 'team', colds),
        fit('bytes of an edit', 'B', 'team', edits),
        fit('bundle in memory', 'KB', 'team', memory),
    )


def _decoded_kb(teams: int) -> float:
    text = msgspec.json.encode(make_bundle(teams, new_key('ana').public))
    tracemalloc.start()
    kept = msgspec.json.decode(text, type=Bundle)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(kept.teams) == teams
    return held / 1024
