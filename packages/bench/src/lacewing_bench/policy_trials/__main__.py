"""Compare policies: ``python -m lacewing_bench.policy_trials --help``."""

import os
from pathlib import Path

import fire

from lacewing_bench.policy_trials._plan import read_arms
from lacewing_bench.policy_trials._plan import read_plays
from lacewing_bench.policy_trials._report import plot
from lacewing_bench.policy_trials._report import report
from lacewing_bench.policy_trials._results import Results
from lacewing_bench.policy_trials._runner import check_out
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
    """Play days for each arm, paired by day and seed, and compare them.

    The first of ``arms`` (separated by spaces, NAME=REVISION with optional
    settings of the policy as JSON) is what the others are compared with.
    What was played is kept in ``out``; a run that was ended goes on there.
    """
    directory = Path(out).resolve()
    all_arms = read_arms(arms.split())
    plays = read_plays(sites.split(), days.split(), seeds)
    results = Results(directory / 'results.jsonl')
    places = []
    for arm in all_arms:
        place = check_out(arm, Path(repository).resolve(), directory)
        places.append((arm, place))
    failed = play_all(
        Path(bench).resolve(),
        places,
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
