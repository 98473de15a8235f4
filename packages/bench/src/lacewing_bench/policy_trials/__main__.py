"""Compare policies: ``python -m lacewing_bench.policy_trials --help``."""

import os
from pathlib import Path

import fire

from lacewing_bench.policy_trials._plan import parse_arms
from lacewing_bench.policy_trials._plan import parse_plays
from lacewing_bench.policy_trials._report import plot
from lacewing_bench.policy_trials._report import report
from lacewing_bench.policy_trials._results import Results
from lacewing_bench.policy_trials._runner import check_out_arm
from lacewing_bench.policy_trials._runner import play_all


def main(
    bench: str,
    sites: str,
    days: str,
    arms: str,
    seeds: str = '1-3',
    why: str = 'comparison of policies',
    out: str = 'build/policy-trials',
    repository: str = '.',
    at_once: int = 0,
) -> None:
    """Simulate days for each arm, paired by day and seed, and compare them.

    ``arms`` are separated by spaces, each NAME=REVISION with optional policy
    settings as JSON. The first one is the baseline of the comparison.
    Results are stored in ``out``; an interrupted run resumes from there.
    """
    directory = Path(out).resolve()
    all_arms = parse_arms(arms.split())
    plays = parse_plays(sites.split(), days.split(), seeds)
    results = Results(directory / 'results.jsonl')
    clones = []
    for arm in all_arms:
        clone = check_out_arm(arm, Path(repository).resolve(), directory)
        clones.append((arm, clone))
    failed = play_all(
        Path(bench).resolve(),
        clones,
        plays,
        results,
        directory / 'journal',
        why,
        at_once or max(1, (os.cpu_count() or 2) // 2),
    )
    print(report(results, all_arms, plays))
    plot(results, all_arms, plays, directory / 'worth.png')
    print(f'plot: {directory / "worth.png"}')
    for line in failed:
        print(f'failed: {line}')


if __name__ == '__main__':
    fire.Fire(main)
