"""Model an engine with continuous batching, in virtual milliseconds.

Prompts are prefilled in chunks between the tokens of other runs. A step takes
longer the more runs there are and the more memory they use. Runs and cached
parts share the memory, and loading weights empties the cache.
"""

from collections import deque
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field

from lacewing_daemon.direct import PromptPart
from lacewing_daemon.direct import UpstreamLoad

# Loads of the last steps, which take some ms each.
_MAX_LOADS = 200


@dataclass(frozen=True)
class EngineModel:
    """Hold the parameters of an engine; times in ms.

    ``tokens_per_event`` holds for all events but a stream's first one.
    """

    slots: int = 48
    kv_tokens: int = 112_000
    step_ms: float = 6.1
    step_ms_per_run: float = 0.041
    step_ms_per_kilotoken: float = 0.005
    prefill_tokens_per_ms: float = 110.0
    prefill_chunk_tokens: int = 4096
    tokens_per_event: int = 4
    load_ms: float = 420.0
    fetch_tokens_per_ms: float = 230.0


@dataclass(eq=False)
class Run:
    """Hold one request at an engine and its progress."""

    cache_salt: str
    parts: tuple[PromptPart, ...]
    answer_tokens: int
    urgency: int
    sequence: int
    weights: int
    shared_parts_stored: bool
    started_superseded: bool = False
    prefill_left: int = -1
    generated: int = 0
    mixed: int = 0
    first_ms: float | None = None

    @property
    def tokens(self) -> int:
        """Return the tokens in memory when the run ends."""
        return sum(part.tokens for part in self.parts) + self.answer_tokens


@dataclass
class EngineCounts:
    """Count an engine's tokens, preemptions and ms of its steps."""

    prefilled_tokens: int = 0
    fetched_tokens: int = 0
    preempted: int = 0
    busy_ms: float = 0.0


@dataclass(frozen=True)
class StepResult:
    """Hold the runs with a first event in a step and the finished ones.

    ``with_event``: all runs with an event.
    """

    started: tuple[Run, ...] = ()
    finished: tuple[Run, ...] = ()
    with_event: tuple[Run, ...] = ()


@dataclass
class Engine:
    """Model one engine; ``step`` runs one batch step."""

    model: EngineModel
    weights: int = 1
    loading_until_ms: float = -1.0
    running: list[Run] = field(default_factory=list)
    waiting: list[Run] = field(default_factory=list)
    counts: EngineCounts = field(default_factory=EngineCounts)
    cached: OrderedDict[tuple[str, str], int] = field(
        default_factory=OrderedDict
    )
    loads: deque[tuple[float, UpstreamLoad]] = field(
        default_factory=lambda: deque(maxlen=_MAX_LOADS)
    )

    @property
    def load_now(self) -> UpstreamLoad:
        """Return the runs under way and those that wait."""
        return UpstreamLoad(
            len(self.running), len(self.waiting), self.model.slots
        )

    def record_load(self, now_ms: float) -> None:
        """Record the load, for reports that are late."""
        self.loads.append((now_ms, self.load_now))

    def load_at(self, at_ms: float) -> UpstreamLoad:
        """Return the load that was recorded last at that time."""
        for recorded_ms, load in reversed(self.loads):
            if recorded_ms <= at_ms:
                return load
        return self.load_now

    def accepts_requests(self, now_ms: float) -> bool:
        """Return whether a request that arrives now is accepted."""
        return now_ms >= self.loading_until_ms

    def enqueue(self, run: Run) -> None:
        """Queue a run; the most urgent runs come first."""
        self.waiting.append(run)
        self.waiting.sort(key=_queue_position)

    def load(self, version: int, now_ms: float) -> tuple[Run, ...]:
        """Start to load weights; return the runs that are refused.

        Active runs continue, and their answers mix two versions.
        """
        refused = tuple(self.waiting)
        self.waiting.clear()
        self.cached.clear()
        self.weights = version
        self.loading_until_ms = now_ms + self.model.load_ms
        return refused

    def crash(self) -> tuple[Run, ...]:
        """Clear all runs and the cache; return the lost runs."""
        lost = (*self.running, *self.waiting)
        self.running.clear()
        self.waiting.clear()
        self.cached.clear()
        return lost

    def abort_run(self, run: Run) -> None:
        """Stop a run that its router aborted."""
        if run in self.running:
            self.running.remove(run)
        if run in self.waiting:
            self.waiting.remove(run)

    def step(self, now_ms: float) -> tuple[float, StepResult]:
        """Run one step; return its duration and its result."""
        self._admit()
        if not self.running:
            return 0.0, StepResult()
        prefilled = self._prefill()
        started = []
        finished = []
        with_event = []
        for run in list(self.running):
            if run.prefill_left > 0:
                continue
            if run.generated == 0:
                started.append(run)
            run.generated += 1
            if (
                run.generated % self.model.tokens_per_event == 1
                or self.model.tokens_per_event == 1
            ):
                with_event.append(run)
            if run.weights != self.weights:
                run.mixed += 1
            if run.generated >= run.answer_tokens:
                finished.append(run)
                self.running.remove(run)
        took_ms = self._step_ms(prefilled)
        self.counts.busy_ms += took_ms
        for run in started:
            run.first_ms = now_ms + took_ms
        return took_ms, StepResult(
            tuple(started), tuple(finished), tuple(with_event)
        )

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.model.slots:
            run = self.waiting[0]
            if not self._reserve_memory(run):
                return
            self.waiting.pop(0)
            self._start_run(run)
            self.running.append(run)

    def _start_run(self, run: Run) -> None:
        """Compute the tokens to prefill: those neither cached nor fetched."""
        cached_tokens = 0
        for part in run.parts[:-1]:
            if (run.cache_salt, part.part_id) not in self.cached:
                break
            cached_tokens += part.tokens
        prompt = sum(part.tokens for part in run.parts)
        shared = prompt - run.parts[-1].tokens
        fetched = shared - cached_tokens if run.shared_parts_stored else 0
        self.counts.fetched_tokens += fetched
        # A transfer delays the run like a prefill of this many tokens.
        speed = self.model.prefill_tokens_per_ms
        transfer_tokens = int(fetched / self.model.fetch_tokens_per_ms * speed)
        run.prefill_left = prompt - cached_tokens - fetched + transfer_tokens
        self.counts.prefilled_tokens += prompt - cached_tokens - fetched
        for part in run.parts[:-1]:
            self.cached[run.cache_salt, part.part_id] = part.tokens
            self.cached.move_to_end((run.cache_salt, part.part_id))

    def _reserve_memory(self, run: Run) -> bool:
        """Evict cached parts, then preempt less urgent runs, to fit a run."""
        while self._used_tokens() + run.tokens > self.model.kv_tokens:
            if self.cached:
                self.cached.popitem(last=False)
                continue
            victim = self._least_urgent()
            if victim is None or victim.urgency <= run.urgency:
                return False
            self.running.remove(victim)
            victim.prefill_left = -1
            self.counts.preempted += 1
            self.enqueue(victim)
        return True

    def _used_tokens(self) -> int:
        used = sum(self.cached.values())
        for run in self.running:
            used += run.parts[-1].tokens + run.generated
        return used

    def _least_urgent(self) -> Run | None:
        if not self.running:
            return None
        return max(self.running, key=_queue_position)

    def _prefill(self) -> int:
        budget = self.model.prefill_chunk_tokens
        for run in self.running:
            chunk = min(run.prefill_left, budget)
            run.prefill_left -= max(0, chunk)
            budget -= max(0, chunk)
        return self.model.prefill_chunk_tokens - budget

    def _step_ms(self, prefilled: int) -> float:
        model = self.model
        took_ms = model.step_ms
        took_ms += model.step_ms_per_run * len(self.running)
        took_ms += model.step_ms_per_kilotoken * self._used_tokens() / 1000
        return took_ms + prefilled / model.prefill_tokens_per_ms


def _queue_position(run: Run) -> tuple[int, int]:
    return (run.urgency, run.sequence)
