"""Count scenarios by behave's own statuses."""

from collections.abc import Iterable
from dataclasses import dataclass

from behave.model import Feature
from behave.model import Scenario
from behave.model_core import Status


@dataclass(frozen=True)
class Counts:
    """Hold the scenarios that passed, failed and were skipped, by name.

    A name is ``<file>: <scenario>``. All but passed and skipped counts as
    failed: errors, hook errors, undefined steps and scenarios not reached.
    """

    passed: tuple[str, ...]
    failed: tuple[str, ...]
    skipped: tuple[str, ...]

    def __add__(self, other: 'Counts') -> 'Counts':
        """Return the counts of two runs together."""
        return Counts(
            self.passed + other.passed,
            self.failed + other.failed,
            self.skipped + other.skipped,
        )


def count(features: Iterable[Feature]) -> Counts:
    """Count the scenarios of features that have run."""
    passed: list[str] = []
    failed: list[str] = []
    skipped: list[str] = []
    for feature in features:
        for scenario in feature.walk_scenarios():
            name = f'{feature.filename}: {scenario.name}'
            _place(scenario, name, passed, failed, skipped)
    return Counts(tuple(passed), tuple(failed), tuple(skipped))


def _place(
    scenario: Scenario,
    name: str,
    passed: list[str],
    failed: list[str],
    skipped: list[str],
) -> None:
    if scenario.status is Status.passed:
        passed.append(name)
        return
    if scenario.status is Status.skipped:
        skipped.append(name)
        return
    failed.append(name)
