"""Run ``python -m lacewing_bench.chaos``."""

import asyncio
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import fire
import msgspec
from lacewing_common.exits import Exit
from tabulate import tabulate

from lacewing_bench.chaos._report import ChaosReport
from lacewing_bench.chaos._run import run_seed

_MINUTES = 1.1
_DIRECTORY = 'build/chaos'
_POLL_S = 0.2
_S_PER_MINUTE = 60.0


class Chaos:
    """Bring random faults to fleets and check each promise."""

    def one(
        self,
        seed: int = 1,
        minutes: float = _MINUTES,
        directory: str = _DIRECTORY,
        quiet: bool = False,
    ) -> None:
        """Run one seed.

        Args:
            seed: chooses the traffic and the faults.
            minutes: how long requests are sent.
            directory: where the report goes.
            quiet: show no progress.
        """
        seconds = minutes * _S_PER_MINUTE
        work = run_seed(seed, seconds, Path(directory), not quiet)
        report = asyncio.run(work)
        _show(report)
        sys.exit(Exit.FAILED if report.breaches else Exit.OK)

    def many(
        self,
        seeds: int = 20,
        first: int = 1,
        at_once: int = 2,
        minutes: float = _MINUTES,
        directory: str = _DIRECTORY,
    ) -> None:
        """Run seeds ``first`` and following, some at once.

        Args:
            seeds: how many.
            first: the first seed.
            at_once: how many fleets at a time.
            minutes: how long requests are sent to each.
            directory: where the reports go.
        """
        waiting = list(range(first, first + seeds))
        wanted = tuple(waiting)
        running: list[subprocess.Popen[bytes]] = []
        failed = False
        while waiting or running:
            while waiting and len(running) < at_once:
                seed = waiting.pop(0)
                running.append(_start(seed, minutes, directory))
            time.sleep(_POLL_S)
            for child in list(running):
                if child.poll() is None:
                    continue
                running.remove(child)
                failed = failed or child.returncode != Exit.OK
        reports = _read(wanted, Path(directory))
        print(_table(reports))
        failed = failed or len(reports) < len(wanted)
        sys.exit(Exit.FAILED if failed else Exit.OK)


def _start(
    seed: int, minutes: float, directory: str
) -> subprocess.Popen[bytes]:
    command = [sys.executable, '-m', 'lacewing_bench.chaos', 'one']
    command += [f'--seed={seed}', f'--minutes={minutes}']
    command += [f'--directory={directory}', '--quiet']
    # No report of an earlier run may pass for this one's.
    (Path(directory) / f'seed-{seed}.json').unlink(missing_ok=True)
    return subprocess.Popen(command, stdin=subprocess.DEVNULL)


def _read(seeds: tuple[int, ...], directory: Path) -> list[ChaosReport]:
    reports: list[ChaosReport] = []
    for seed in seeds:
        path = directory / f'seed-{seed}.json'
        if not path.exists():
            print(f'chaos: seed {seed} gave no report', file=sys.stderr)
            continue
        reports.append(
            msgspec.json.decode(path.read_bytes(), type=ChaosReport)
        )
    return reports


def _show(report: ChaosReport) -> None:
    broken = {name: n for name, n in report.broken.items() if n}
    print(
        f'chaos: seed {report.seed}: {report.requests} requests in'
        f' {report.seconds:.0f} s, {sum(report.faults.values())} faults,'
        f' {report.pairs} pairs at once, broken: {broken or "nothing"}'
    )
    if report.breaches:
        print('\n'.join(['faults:', *report.timeline]))
        print('\n'.join(['broken:', *report.breaches]))
    for line in report.faults_of_code:
        print(f'unforeseen error: {line}')


def _table(reports: list[ChaosReport]) -> str:
    rows: list[list[object]] = []
    broken: Counter[str] = Counter()
    faults: Counter[str] = Counter()
    for report in reports:
        broken.update(report.broken)
        faults.update(report.faults)
        crash = report.crash_ms
        rows.append(
            [
                report.seed,
                report.requests,
                sum(report.faults.values()),
                report.pairs,
                sum(report.broken.values()),
                crash[len(crash) // 2] if crash else None,
                crash[-1] if crash else None,
                max(report.stopped_s, default=None),
            ]
        )
    headers = (
        'seed',
        'requests',
        'faults',
        'pairs',
        'broken',
        'crash ms p50',
        'crash ms max',
        'leaving s max',
    )
    minutes = sum(report.seconds for report in reports) / _S_PER_MINUTE
    return '\n'.join(
        [
            tabulate(rows, headers=headers),
            f'\n{len(reports)} seeds, {minutes:.1f} minutes,'
            f' {sum(report.requests for report in reports)} requests,'
            f' {sum(faults.values())} faults',
            f'faults: {dict(sorted(faults.items()))}',
            f'broken: {dict(broken)}',
            _unharmed(reports),
        ]
    )


def _unharmed(reports: list[ChaosReport]) -> str:
    requests: Counter[str] = Counter()
    unharmed: Counter[str] = Counter()
    for report in reports:
        for kind, counted in report.unharmed.items():
            requests[kind] += counted.requests
            unharmed[kind] += counted.unharmed
    rows: list[list[object]] = []
    for kind in sorted(requests):
        share = unharmed[kind] / requests[kind]
        rows.append([kind, requests[kind], f'{share:.1%}'])
    return tabulate(rows, headers=('fault', 'requests', 'unharmed'))


if __name__ == '__main__':
    fire.Fire(Chaos, name='chaos')
