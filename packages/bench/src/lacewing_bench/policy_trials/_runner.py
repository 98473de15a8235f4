"""Run plays by calling the users' bench as a subprocess."""

import json
import re
import shutil
import subprocess
from collections.abc import Sequence
from concurrent.futures import as_completed
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

from tqdm import tqdm

from lacewing_bench.policy_trials._plan import Arm
from lacewing_bench.policy_trials._plan import Play
from lacewing_bench.policy_trials._results import Result
from lacewing_bench.policy_trials._results import Results

_SNAPSHOT = re.compile(r'^snapshot (\w+)', re.MULTILINE)
_TEMPLATE = 'deploy/router.json'
# Text after the last setting in the template.
_TEMPLATE_END = '\n}\n'
_MAX_ERROR_CHARS = 400


class PlayError(Exception):
    """Report a play that produced no figures."""


def check_out_arm(arm: Arm, repository: Path, directory: Path) -> Path:
    """Clone the arm's revision, apply its settings and return the path."""
    clone = directory / arm.name
    if clone.exists():
        return clone
    _git('clone', '-q', str(repository), str(clone))
    _git('-C', str(clone), 'checkout', '-q', '--detach', arm.revision)
    if arm.policy:
        template = clone / _TEMPLATE
        text = template.read_text().removesuffix(_TEMPLATE_END)
        policy = json.dumps(dict(arm.policy))
        template.write_text(f'{text},\n  "policy": {policy}{_TEMPLATE_END}')
    return clone


def play_all(
    bench: Path,
    clones: Sequence[tuple[Arm, Path]],
    plays: Sequence[Play],
    results: Results,
    journal: Path,
    why: str,
    at_once: int,
) -> list[str]:
    """Run the plays without a result; return a line for each failed one.

    Journal entries are copied to ``journal`` unchanged.
    """
    failed = []
    with ThreadPoolExecutor(at_once) as pool:
        # Builds each clone once, or its plays would build it concurrently.
        list(pool.map(partial(_build, bench), clones))
        running = []
        for play in plays:
            for arm, clone in clones:
                if results.get(arm.name, play.key) is not None:
                    continue
                running.append(
                    pool.submit(_play, bench, arm, clone, play, why, journal)
                )
        done = as_completed(running)
        for future in tqdm(done, total=len(running), unit='play'):
            try:
                results.add(future.result())
            except PlayError as error:
                failed.append(str(error))
    return failed


def _build(bench: Path, clone: tuple[Arm, Path]) -> None:
    subprocess.run(
        [bench, 'build'], cwd=clone[1], check=True, capture_output=True
    )


def _play(
    bench: Path, arm: Arm, clone: Path, play: Play, why: str, journal: Path
) -> Result:
    command = [
        str(bench),
        'run',
        str(play.site),
        play.day,
        '--seed',
        str(play.seed),
        '--no-cpu',
        '--why',
        f'{why} [{arm.name}]',
    ]
    done = subprocess.run(command, cwd=clone, capture_output=True, text=True)
    found = _SNAPSHOT.search(done.stdout)
    if found is None:
        end = (done.stdout + done.stderr)[-_MAX_ERROR_CHARS:]
        raise PlayError(f'{arm.name} {play.key}: no snapshot: {end}')
    snapshot = found.group(1)
    entry = _find_journal_entry(clone, snapshot)
    journal.mkdir(parents=True, exist_ok=True)
    shutil.copy2(entry, journal / entry.name)
    return _result(arm, play, snapshot, json.loads(entry.read_text()))


def _find_journal_entry(clone: Path, snapshot: str) -> Path:
    entries = sorted((clone / 'journal').glob(f'*-{snapshot}.json'))
    if not entries:
        raise PlayError(f'no journal entry of {snapshot} in {clone}')
    return entries[-1]


def _result(arm: Arm, play: Play, snapshot: str, entry: Any) -> Result:
    day = entry['days'][0]
    parts = {part[0]: part[2] for part in day['parts']}
    prices = {price[0]: price[2] for price in day['prices']}
    return Result(
        arm=arm.name,
        play=play.key,
        snapshot=snapshot,
        worth=day['G'],
        served=day['served'],
        refused=day['refused'],
        failed=day['failed'],
        worst_windows=parts.get('worst windows', 0.0),
        worst_class=parts.get('worst class', 0.0),
        prices=prices,
        rules=tuple(day['rules']),
    )


def _git(*arguments: str) -> None:
    subprocess.run(('git', *arguments), check=True)
