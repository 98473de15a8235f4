"""Judge a run of all scenarios."""

from lacewing_bench.testrun._counts import Counts
from lacewing_bench.testrun._known_red import KnownRed


def passes(counts: Counts, known: tuple[KnownRed, ...]) -> bool:
    """Tell whether only tests on record failed and any passed."""
    if not counts.passed:
        return False
    allowed = {entry.test for entry in known}
    for test in counts.failed:
        if test not in allowed:
            return False
    return True


def report(counts: Counts, known: tuple[KnownRed, ...]) -> list[str]:
    """Write the report, the counts on its last line."""
    lines: list[str] = []
    allowed = {entry.test: entry for entry in known}
    for test in counts.skipped:
        lines.append(f'skipped: {test}')
    for test in counts.failed:
        entry = allowed.get(test)
        if entry is None:
            lines.append(f'failed: {test}')
            continue
        lines.append(f'known red: {test} ({entry.cause}; {entry.issue})')
    for entry in known:
        if entry.test in counts.failed:
            continue
        lines.append(f'no longer red: {entry.test}; take it off KNOWN-RED.txt')
    passed = len(counts.passed)
    failed = len(counts.failed)
    lines.append(f'{passed} passed, {failed} failed')
    return lines
