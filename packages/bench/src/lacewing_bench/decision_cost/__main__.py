"""Print what decisions cost: ``python -m lacewing_bench.decision_cost``."""

import json
from dataclasses import asdict
from pathlib import Path

import fire
from tabulate import tabulate

from lacewing_bench.decision_cost._measure import DecisionCost
from lacewing_bench.decision_cost._measure import measure
from lacewing_bench.decision_cost._measure import POLICIES

GOAL_US = 200.0


def main(
    workers: int = 890,
    decisions: int = 3000,
    output: str = 'build/decision-cost',
) -> None:
    """Time the decisions of each policy, as ratios to random in one run.

    Args:
        workers: eligible workers.
        decisions: decisions timed for each policy.
        output: directory of decision-cost.json.
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
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    found = json.dumps([asdict(cost) for cost in costs], indent=2)
    (directory / 'decision-cost.json').write_text(found)


if __name__ == '__main__':
    fire.Fire(main, name='decision-cost')
