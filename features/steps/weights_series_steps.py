"""Check that engines get weights in time when many versions are named."""

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
NEAR_S = nearly_overdue_after_s(BOUNDS.weights_s * OLD_WEIGHTS_FRACTION)
LOOK_S = 0.1
LOAD_S = 0.4
LONG_AGO_S = 1000.0
# Orders that stay unanswered are carried out between these times later.
LATE_FROM_S = 2.0
LATE_TO_S = 12.0


@dataclass
class _Engine:
    """Hold one engine; ``taken`` counts the orders it accepted."""

    version: int = 1
    ordered: int = 0
    ordered_s: float = -LONG_AGO_S
    loads_until_s: float = 0.0
    loads: int = 0
    taken: int = 0


class _Fleet:
    """Play the orders of one holder and what engines make of them."""

    def __init__(self, count: int, at_once_part: float) -> None:
        self.random = Random(count)
        self.part = at_once_part
        self.engines = {f'e{number}': _Engine() for number in range(count)}
        self.namings: list[tuple[int, float]] = [(1, -LONG_AGO_S)]
        self.under_way: list[tuple[float, str, int, int]] = []
        self.passed_over: list[tuple[float, str]] = []
        self.most_at_once = 0
        self.worst_s = 0.0
        self._times = {name: 0.0 for name in self.engines}

    def name(self, now_s: float) -> None:
        """Name the next version."""
        version = self.namings[-1][0] + 1
        self.namings.append((version, now_s))
        has = {name: one.version for name, one in self.engines.items()}
        self._times = dict(load_schedule(MODEL, version, has, POLICY))

    def look(self, now_s: float) -> None:
        """Let engines load, and order those that are due."""
        self._load(now_s)
        views = []
        for name, engine in self.engines.items():
            lacks_s = self._lacks_s(engine.version, now_s)
            self.worst_s = max(self.worst_s, lacks_s)
            due_in_s = self._times[name] + self.namings[-1][1] - now_s
            near_in_s = NEAR_S - lacks_s if lacks_s else float('inf')
            views.append(
                EngineWeights(
                    name,
                    engine.version,
                    now_s - engine.ordered_s,
                    self.random.randrange(5),
                    due_in_s,
                    near_in_s,
                )
            )
        chosen = next_loads(views, self.namings[-1][0], POLICY)
        self._judge(views, chosen, now_s)
        for name in chosen:
            self._order(name, now_s)

    def _order(self, name: str, now_s: float) -> None:
        engine = self.engines[name]
        engine.ordered_s = now_s
        engine.ordered = self.namings[-1][0]
        at_s = now_s
        if self.random.random() >= self.part:
            at_s += self.random.uniform(LATE_FROM_S, LATE_TO_S)
        version = self.namings[-1][0]
        self.under_way.append((at_s, name, version, engine.taken))

    def _load(self, now_s: float) -> None:
        left = []
        for order in sorted(self.under_way):
            at_s, name, version, taken = order
            engine = self.engines[name]
            if at_s > now_s:
                left.append(order)
                continue
            # An order that comes late, after another, is refused.
            if engine.taken != taken or engine.loads_until_s > now_s:
                continue
            engine.taken += 1
            engine.loads = version
            engine.loads_until_s = now_s + LOAD_S
        self.under_way = left
        for engine in self.engines.values():
            if engine.loads and engine.loads_until_s <= now_s:
                engine.version = max(engine.version, engine.loads)
                engine.loads = 0

    def _judge(
        self,
        views: list[EngineWeights],
        chosen: tuple[str, ...],
        now_s: float,
    ) -> None:
        under_way = len(chosen)
        last_s = float('-inf')
        for view in views:
            waits = view.version < self.engines[view.upstream_id].ordered
            if waits and view.ordered_ago_s < ORDER_RETRY_S:
                under_way += 1
            if view.upstream_id in chosen:
                last_s = max(last_s, view.nearly_overdue_in_s)
        self.most_at_once = max(self.most_at_once, under_way)
        for view in views:
            if (
                view.upstream_id in chosen
                or view.ordered_ago_s < ORDER_RETRY_S
            ):
                continue
            if view.nearly_overdue_in_s < min(0.0, last_s):
                self.passed_over.append((now_s, view.upstream_id))

    def _lacks_s(self, version: int, now_s: float) -> float:
        ages = [now_s - at_s for one, at_s in self.namings if one > version]
        return max(ages, default=0.0)


@given('the weights of the busiest are nearly overdue')
def step_near(context: Context) -> None:
    """Set the first engine's time."""
    context.near = context.engines[0].upstream_id
    context.engines[0] = replace(context.engines[0], nearly_overdue_in_s=-0.1)


@then('only that one is ordered')
def step_just(context: Context) -> None:
    """Check the choice."""
    assert context.chosen == (context.near,), context.chosen


@given('{count:d} engines that carry out {part:d} of 10 orders at once')
def step_engines(context: Context, count: int, part: int) -> None:
    """Set engines with version 1."""
    context.fleet = _Fleet(count, part / 10)


@when('versions are released every {every:d} s for {span:d} s')
def step_named(context: Context, every: int, span: int) -> None:
    """Look ten times a second."""
    looks_apart = round(every / LOOK_S)
    for look in range(round(span / LOOK_S)):
        if look % looks_apart == 0:
            context.fleet.name(look * LOOK_S)
        context.fleet.look(look * LOOK_S)


@then('at most one in three is ordered at a time')
def step_bound(context: Context) -> None:
    """Check the most."""
    bound = ceil(len(context.fleet.engines) / POLICY.load_turns)
    assert 0 < context.fleet.most_at_once <= bound


@then('no engine that is nearly overdue is passed over for another')
def step_passed(context: Context) -> None:
    """Check each choice."""
    assert not context.fleet.passed_over, context.fleet.passed_over[:5]


@then('none lacks a version for over {worst:d} s')
def step_worst(context: Context, worst: int) -> None:
    """Check the longest time."""
    assert context.fleet.worst_s <= worst, context.fleet.worst_s
