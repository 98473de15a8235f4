"""Check that engines get weights in time when many versions are released."""

from dataclasses import dataclass
from dataclasses import replace
from math import ceil
from random import Random

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from lacewing_daemon.direct._cluster_state import OLD_WEIGHTS_FRACTION
from lacewing_daemon.direct._loading import EngineWeights
from lacewing_daemon.direct._loading import load_schedule
from lacewing_daemon.direct._loading import nearly_overdue_after_s
from lacewing_daemon.direct._loading import next_loads
from lacewing_daemon.direct._loading import ORDER_RETRY_S
from lacewing_daemon.direct._policy import LoadPolicy
from support.direct_bench import BOUNDS
from support.direct_bench import MODEL

POLICY = LoadPolicy()
NEARLY_OVERDUE_S = nearly_overdue_after_s(
    BOUNDS.weights_s * OLD_WEIGHTS_FRACTION
)
CHECK_INTERVAL_S = 0.1
LOAD_S = 0.4
LONG_AGO_S = 1000.0
# Orders without an answer are carried out after a delay within these bounds.
LATE_FROM_S = 2.0
LATE_TO_S = 12.0


@dataclass
class _Engine:
    """Simulate one engine."""

    version: int = 1
    ordered_version: int = 0
    ordered_s: float = -LONG_AGO_S
    loaded_at_s: float = 0.0
    loading_version: int = 0
    accepted_orders: int = 0


class _Fleet:
    """Simulate the orders of one lease holder and their effect."""

    def __init__(self, count: int, immediate_fraction: float) -> None:
        self.random = Random(count)
        self.immediate_fraction = immediate_fraction
        self.engines = {f'e{number}': _Engine() for number in range(count)}
        self.releases: list[tuple[int, float]] = [(1, -LONG_AGO_S)]
        self.pending: list[tuple[float, str, int, int]] = []
        self.passed_over: list[tuple[float, str]] = []
        self.max_concurrent = 0
        self.max_superseded_s = 0.0
        self._schedule = {name: 0.0 for name in self.engines}

    def release(self, now_s: float) -> None:
        """Release the next version."""
        version = self.releases[-1][0] + 1
        self.releases.append((version, now_s))
        versions = {
            name: engine.version for name, engine in self.engines.items()
        }
        self._schedule = dict(load_schedule(MODEL, version, versions, POLICY))

    def check(self, now_s: float) -> None:
        """Advance the loads, and order the engines that are due."""
        self._load(now_s)
        views = []
        for name, engine in self.engines.items():
            superseded_s = self._superseded_for_s(engine.version, now_s)
            self.max_superseded_s = max(self.max_superseded_s, superseded_s)
            due_in_s = self._schedule[name] + self.releases[-1][1] - now_s
            nearly_overdue_in_s = (
                NEARLY_OVERDUE_S - superseded_s
                if superseded_s
                else float('inf')
            )
            views.append(
                EngineWeights(
                    name,
                    engine.version,
                    now_s - engine.ordered_s,
                    self.random.randrange(5),
                    due_in_s,
                    nearly_overdue_in_s,
                )
            )
        chosen = next_loads(views, self.releases[-1][0], POLICY)
        self._record(views, chosen, now_s)
        for name in chosen:
            self._order(name, now_s)

    def _order(self, name: str, now_s: float) -> None:
        engine = self.engines[name]
        engine.ordered_s = now_s
        engine.ordered_version = self.releases[-1][0]
        at_s = now_s
        if self.random.random() >= self.immediate_fraction:
            at_s += self.random.uniform(LATE_FROM_S, LATE_TO_S)
        version = self.releases[-1][0]
        self.pending.append((at_s, name, version, engine.accepted_orders))

    def _load(self, now_s: float) -> None:
        pending = []
        for order in sorted(self.pending):
            at_s, name, version, accepted_orders = order
            engine = self.engines[name]
            if at_s > now_s:
                pending.append(order)
                continue
            # A late order that arrives after another one is refused.
            if (
                engine.accepted_orders != accepted_orders
                or engine.loaded_at_s > now_s
            ):
                continue
            engine.accepted_orders += 1
            engine.loading_version = version
            engine.loaded_at_s = now_s + LOAD_S
        self.pending = pending
        for engine in self.engines.values():
            if engine.loading_version and engine.loaded_at_s <= now_s:
                engine.version = max(engine.version, engine.loading_version)
                engine.loading_version = 0

    def _record(
        self,
        views: list[EngineWeights],
        chosen: tuple[str, ...],
        now_s: float,
    ) -> None:
        concurrent = len(chosen)
        last_s = float('-inf')
        for view in views:
            is_pending = (
                view.version < self.engines[view.upstream_id].ordered_version
            )
            if is_pending and view.ordered_ago_s < ORDER_RETRY_S:
                concurrent += 1
            if view.upstream_id in chosen:
                last_s = max(last_s, view.nearly_overdue_in_s)
        self.max_concurrent = max(self.max_concurrent, concurrent)
        for view in views:
            if (
                view.upstream_id in chosen
                or view.ordered_ago_s < ORDER_RETRY_S
            ):
                continue
            if view.nearly_overdue_in_s < min(0.0, last_s):
                self.passed_over.append((now_s, view.upstream_id))

    def _superseded_for_s(self, version: int, now_s: float) -> float:
        ages = [
            now_s - at_s
            for released, at_s in self.releases
            if released > version
        ]
        return max(ages, default=0.0)


@given('the weights of the busiest are nearly overdue')
def step_nearly_overdue(context: Context) -> None:
    """Set the first engine's remaining time."""
    context.overdue_id = context.engines[0].upstream_id
    context.engines[0] = replace(context.engines[0], nearly_overdue_in_s=-0.1)


@then('only that one is ordered')
def step_only(context: Context) -> None:
    """Check the choice."""
    assert context.chosen == (context.overdue_id,), context.chosen


@given('{count:d} engines that carry out {part:d} of 10 orders at once')
def step_engines(context: Context, count: int, part: int) -> None:
    """Create a fleet with version 1."""
    context.fleet = _Fleet(count, part / 10)


@when('versions are released every {every:d} s for {span:d} s')
def step_release(context: Context, every: int, span: int) -> None:
    """Check ten times a second."""
    checks_per_release = round(every / CHECK_INTERVAL_S)
    for number in range(round(span / CHECK_INTERVAL_S)):
        if number % checks_per_release == 0:
            context.fleet.release(number * CHECK_INTERVAL_S)
        context.fleet.check(number * CHECK_INTERVAL_S)


@then('at most one in three is ordered at a time')
def step_bound(context: Context) -> None:
    """Check the maximum number of concurrent orders."""
    limit = ceil(len(context.fleet.engines) / POLICY.load_turns)
    assert 0 < context.fleet.max_concurrent <= limit


@then('no engine that is nearly overdue is passed over for another')
def step_passed(context: Context) -> None:
    """Check each choice."""
    assert not context.fleet.passed_over, context.fleet.passed_over[:5]


@then('none lacks a version for over {worst:d} s')
def step_worst(context: Context, worst: int) -> None:
    """Check the longest time that an engine's weights were superseded."""
    assert context.fleet.max_superseded_s <= worst, (
        context.fleet.max_superseded_s
    )
