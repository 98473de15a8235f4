"""Print the cost of routing decisions and of following an engine's cache.

Run ``python -m lacewing_bench.decision_cost``.
"""

import json
from dataclasses import asdict
from pathlib import Path

import fire
from tabulate import tabulate

from lacewing_bench.decision_cost._following import measure_following
from lacewing_bench.decision_cost._measure import DecisionCost
from lacewing_bench.decision_cost._measure import measure
from lacewing_bench.decision_cost._measure import POLICIES

GOAL_US = 200.0


def main(
    workers: int = 890,
    decisions: int = 3000,
    blocks: int = 21_000,
    events_s: float = 281.0,
    output: str = 'build/decision-cost',
) -> None:
    """Time the decisions of each policy, relative to random in the same run.

    Args:
        workers: number of eligible workers.
        decisions: number of decisions timed for each policy.
        blocks: number of cached blocks that an agent follows.
        events_s: cache events per second of its engine.
        output: directory to write decision-cost.json to.
    """
    costs: list[DecisionCost] = []
    for policy in POLICIES:
        costs.append(measure(policy, workers, decisions))
    random_us = costs[0].mean_us
    rows = []
    for cost in costs:
        ratio = cost.mean_us / random_us
        rows.append((cost.policy, cost.p50_us, cost.p99_us, ratio))
    headers = ('policy', 'p50 us', 'p99 us', 'mean over random')
    print(tabulate(rows, headers, floatfmt='.1f'))
    print(f'{workers} workers; the goal is {GOAL_US:.0f} us a decision')
    following = measure_following(blocks, events_s)
    print(
        f'following {blocks} blocks: {following.event_us:.1f} us an event,'
        f' {following.core_percent:.2f}% of a core and'
        f' {following.event_bytes * events_s / 1024:.0f} KB/s from the engine'
        f' at {events_s:.0f} events/s; a snapshot takes'
        f' {following.snapshot_ms:.0f} ms and {following.snapshot_kb:.0f} KB,'
        f' the view {following.view_kb:.0f} KB'
    )
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    cost_rows = [asdict(cost) for cost in costs]
    cost_rows.append(asdict(following))
    encoded = json.dumps(cost_rows, indent=2)
    (directory / 'decision-cost.json').write_text(encoded)


if __name__ == '__main__':
    fire.Fire(main, name='decision-cost')
