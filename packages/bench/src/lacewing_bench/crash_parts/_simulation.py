"""Simulate routers, upstreams and prompts in virtual time.

Of the routers, what each of them reports and the time until all know of a
crash are modelled; one registry stands for those of all.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from itertools import count
from random import Random

from lacewing_daemon.direct.crashes import CrashRecord
from lacewing_daemon.direct.crashes import CrashRegistry
from lacewing_daemon.direct.crashes import Suspect
from lacewing_daemon.direct.crashes import UpstreamIncarnation
from lacewing_daemon.direct.crashes._probes import probe_intervals
from lacewing_daemon.direct.crashes._probes import ProbeSchedule

from lacewing_bench.crash_parts._load import Load
from lacewing_bench.crash_parts._load import Outcome
from lacewing_bench.crash_parts._rules import Rule

CRASH_DELAY_S = 0.06
# Time until the router with an interrupted run knows that its upstream
# crashed.
DETECTION_S = 0.025
RESTART_S = (1.0, 3.0)
FAILOVER_DELAY_S = 0.05
RETRY_DELAY_S = (0.2, 0.7)
RETRY_PROBABILITY = 0.8
ANSWER_S = (0.15, 1.3)
MAX_SENDS = 2
FIRST_CULPRIT_S = 3.0
SETTLED_S = 2.0
MAX_LOST = 5
# Sound prompts have one of as many middle parts for each upstream, unless the
# load has a number of them.
MIDDLE_PARTS_PER_UPSTREAM = 12
# Unix time at which a simulation begins.
START_MS = 1_800_000_000_000


@dataclass(frozen=True)
class _Request:
    fingerprint: str
    parts: tuple[str, ...]
    is_sound: bool
    router: int
    sends_left: int = MAX_SENDS
    tried: frozenset[int] = frozenset()
    is_probe: bool = False
    is_first: bool = True

    @property
    def subjects(self) -> tuple[str, ...]:
        return (self.fingerprint, *self.parts)


@dataclass
class _Run:
    request: _Request
    begun: bool = False


@dataclass
class _Upstream:
    number: int
    is_up: bool = True
    incarnation: int = 0
    runs: dict[int, _Run] = field(default_factory=dict)


class _Simulation:
    def __init__(self, load: Load, rule: Rule, seed: int) -> None:
        self._load = load
        self._rule = rule
        self._random = Random(seed)
        self._now_s = 0.0
        self._ids = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._registry = CrashRegistry(
            clock=lambda: self._now_s,
            attribute=rule.attribute,
            count_moments=rule.count_moments,
        )
        self._upstreams = [
            _Upstream(number) for number in range(load.upstreams)
        ]
        self._completed: list[set[str]] = [set() for _ in range(load.routers)]
        self._suspects: set[str] = set()
        self._probes = ProbeSchedule(self._random, lambda: self._now_s)
        self._bad = frozenset(
            part for parts in load.culprits for part in parts
        )
        self._outcome = Outcome()
        self._skews_s = [0.0] * load.routers
        if load.skew_s:
            for router in range(load.routers):
                skew_s = self._uniform((-load.skew_s, load.skew_s))
                self._skews_s[router] = skew_s

    def run(self) -> Outcome:
        """Run all events of the load and return the counts."""
        self._schedule(0.0, self._send_sound)
        for parts in self._load.culprits:
            self._schedule(FIRST_CULPRIT_S, self._culprit_caller(parts))
        if self._load.stray_crash_s:
            self._schedule(FIRST_CULPRIT_S, self._crash_at_random)
        for wave in range(self._load.waves):
            delay_s = FIRST_CULPRIT_S + wave * self._load.wave_interval_s
            self._schedule(delay_s, self._crash_wave)
        if self._load.killed_s:
            self._schedule(self._load.killed_s, self._kill_router)
        while self._events:
            self._now_s, _, action = heapq.heappop(self._events)
            action()
        return self._outcome

    @property
    def _is_finished(self) -> bool:
        return self._now_s >= self._load.duration_s

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self._now_s + delay_s, next(self._ids), action)
        heapq.heappush(self._events, event)

    def _uniform(self, bounds: tuple[float, float]) -> float:
        return self._random.uniform(*bounds)

    def _send_sound(self) -> None:
        if self._is_finished:
            return
        load = self._load
        first = self._random.randrange(load.first_parts)
        middle = self._middle_part()
        if self._random.random() < load.single:
            middle = f'part-single {next(self._ids)}'
        self._send(self._request((f'part-first {first}', middle), True))
        rate = load.sound_per_upstream * load.upstreams
        self._schedule(self._random.expovariate(rate), self._send_sound)

    def _middle_part(self) -> str:
        load = self._load
        shared = load.middle_parts
        if not shared:
            shared = load.upstreams * MIDDLE_PARTS_PER_UPSTREAM
        return f'part-middle {int(shared * self._random.random() ** 2)}'

    def _request(self, parts: tuple[str, ...], is_sound: bool) -> _Request:
        router = self._random.randrange(self._load.routers)
        return _Request(f'request {next(self._ids)}', parts, is_sound, router)

    def _culprit_caller(self, parts: tuple[str, ...]) -> Callable[[], None]:
        load = self._load
        rate = load.sound_per_upstream * load.upstreams / load.ratio
        if load.rare_s:
            rate = 1 / load.rare_s

        def send() -> None:
            if self._is_finished:
                return
            common = (
                f'part-first {self._random.randrange(load.first_parts)}',
            )
            if not load.middle:
                middle = (self._middle_part(),)
                self._send(self._request((*parts, *middle), False))
            else:
                self._send(self._request((*common, *parts), False))
            self._schedule(self._random.expovariate(rate), send)

        return send

    def _crash_at_random(self) -> None:
        if self._is_finished:
            return
        upstream = self._random.choice(self._upstreams)
        if upstream.is_up:
            self._crash(upstream)
        delay_s = self._random.expovariate(1 / self._load.stray_crash_s)
        self._schedule(delay_s, self._crash_at_random)

    def _crash_wave(self) -> None:
        load = self._load
        count = round(load.wave_share * load.upstreams)
        up = [one for one in self._upstreams if one.is_up]
        for upstream in self._random.sample(up, min(count, len(up))):
            delay_s = self._random.uniform(0.0, load.wave_spread_s)
            self._schedule(delay_s, self._wave_crash(upstream))

    def _wave_crash(self, upstream: _Upstream) -> Callable[[], None]:
        def crash() -> None:
            if upstream.is_up:
                self._crash(upstream, in_wave=True)

        return crash

    def _kill_router(self) -> None:
        if self._is_finished:
            return
        router = self._random.randrange(self._load.routers)
        self._completed[router].clear()
        for upstream in self._upstreams:
            for run_id, run in tuple(upstream.runs.items()):
                if run.request.router == router:
                    del upstream.runs[run_id]
        self._schedule(self._load.killed_s, self._kill_router)

    def _send(self, request: _Request) -> None:
        is_counted = self._counts(request)
        if is_counted:
            self._outcome.sound += 1
        blocked = self._registry.blocked
        found = [one for one in request.subjects if one in blocked]
        if found:
            if not self._admits_probe(found):
                if request.is_sound:
                    self._outcome.blocked.update(found)
                return
            request = replace(request, is_probe=True, sends_left=1)
        upstream = self._choose(request)
        if upstream is None:
            return
        if is_counted:
            self._outcome.begun += 1
        for part in self._bad.intersection(request.parts):
            if self._outcome.crashes[part] >= MAX_LOST:
                self._outcome.late_sends[part] += 1
        run_id = next(self._ids)
        upstream.runs[run_id] = _Run(request)
        self._schedule(
            self._uniform(self._load.first_event_s),
            self._if_running(upstream, run_id, self._begin),
        )

    def _counts(self, request: _Request) -> bool:
        return (
            request.is_sound
            and request.is_first
            and self._now_s >= FIRST_CULPRIT_S + SETTLED_S
        )

    def _admits_probe(self, blocked: list[str]) -> bool:
        return len(blocked) == 1 and self._probes.admit(blocked[0])

    def _choose(self, request: _Request) -> _Upstream | None:
        up = []
        for upstream in self._upstreams:
            if upstream.is_up and upstream.number not in request.tried:
                up.append(upstream)
        if self._rule.isolates and self._suspects and len(up) > 1:
            few = max(1, min(4, len(up) // 8))
            if self._suspects.isdisjoint(request.parts):
                up = up[few:]
            else:
                up = up[:few]
        if not up:
            return None
        sample = self._random.sample(up, min(3, len(up)))
        return min(sample, key=lambda one: len(one.runs))

    def _if_running(
        self,
        upstream: _Upstream,
        run_id: int,
        action: Callable[[_Upstream, int], None],
    ) -> Callable[[], None]:
        def check() -> None:
            if run_id in upstream.runs:
                action(upstream, run_id)

        return check

    def _begin(self, upstream: _Upstream, run_id: int) -> None:
        run = upstream.runs[run_id]
        if not run.request.is_sound and self._now_s >= self._load.turned_s:
            crash = self._if_running(
                upstream, run_id, lambda crashed, _: self._crash(crashed)
            )
            self._schedule(CRASH_DELAY_S, crash)
            return
        run.begun = True
        self._schedule(
            self._uniform(ANSWER_S),
            self._if_running(upstream, run_id, self._complete),
        )

    def _complete(self, upstream: _Upstream, run_id: int) -> None:
        request = upstream.runs.pop(run_id).request
        self._completed[request.router].update(request.parts)
        self._registry.exonerate(request.subjects)
        self._suspects.difference_update(request.parts)

    def _crash(self, upstream: _Upstream, in_wave: bool = False) -> None:
        runs = tuple(upstream.runs.values())
        culprits: set[str] = set()
        for run in runs:
            culprits.update(self._bad.intersection(run.request.parts))
        if not in_wave:
            self._outcome.crashes.update(culprits)
        start = UpstreamIncarnation(str(upstream.number), upstream.incarnation)
        upstream.runs.clear()
        upstream.incarnation += 1
        upstream.is_up = False

        def restart() -> None:
            upstream.is_up = True

        self._schedule(self._uniform(RESTART_S), restart)
        by_router: dict[int, list[_Run]] = {}
        for run in runs:
            by_router.setdefault(run.request.router, []).append(run)
        for router, own in by_router.items():
            record = self._report(router, start, own)
            delay_s = DETECTION_S + self._load.propagation_s
            if self._load.report_spread_s:
                delay_s += self._uniform((0.0, self._load.report_spread_s))
            self._schedule(delay_s, self._merger(record))
        for run in runs:
            self._outcome.broken += run.request.is_sound
            self._interrupt(run.request, upstream.number)

    def _report(
        self, router: int, start: UpstreamIncarnation, runs: list[_Run]
    ) -> CrashRecord:
        suspects = []
        parts: set[str] = set()
        for run in runs:
            request = run.request
            suspects.append(
                Suspect(request.fingerprint, run.begun, request.parts)
            )
            if not run.begun:
                parts.update(request.parts)
        proven: set[str] = set()
        if self._rule.uses_proof:
            proven = parts & self._completed[router]
        crashed_s = self._now_s + self._skews_s[router]
        return CrashRecord(
            start,
            tuple(suspects),
            gone=True,
            proven=tuple(sorted(proven)),
            crashed_ms=START_MS + int(crashed_s * 1000),
        )

    def _merger(self, record: CrashRecord) -> Callable[[], None]:
        def merge() -> None:
            self._registry.merge(record)
            for suspect in record.suspects:
                if not suspect.begun:
                    self._suspects.update(suspect.parts)
            self._suspects.difference_update(record.proven)
            self._abort_blocked()

        return merge

    def _abort_blocked(self) -> None:
        blocked = self._registry.blocked
        self._probes.update(probe_intervals(self._registry))
        self._suspects -= blocked
        for upstream in self._upstreams:
            for run_id, run in tuple(upstream.runs.items()):
                if run.begun or run.request.is_probe:
                    continue
                if not blocked.isdisjoint(run.request.subjects):
                    del upstream.runs[run_id]

    def _interrupt(self, request: _Request, number: int) -> None:
        if request.is_probe:
            return
        if request.sends_left > 1:
            again = replace(
                request,
                sends_left=request.sends_left - 1,
                tried=request.tried | {number},
                is_first=False,
            )
            self._schedule(FAILOVER_DELAY_S, lambda: self._send(again))
            return
        if self._is_finished or self._random.random() >= RETRY_PROBABILITY:
            return
        retry = replace(
            request,
            sends_left=MAX_SENDS,
            tried=frozenset(),
            is_first=False,
            router=self._random.randrange(self._load.routers),
        )
        self._schedule(self._uniform(RETRY_DELAY_S), lambda: self._send(retry))


def play(load: Load, rule: Rule, seed: int) -> Outcome:
    """Simulate a load under a rule; deterministic for a given seed."""
    return _Simulation(load, rule, seed).run()
