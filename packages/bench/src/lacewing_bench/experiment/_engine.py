"""Model an engine that batches continuously, in virtual milliseconds.

Prompts are read in pieces between the tokens of other runs, a step takes
longer the more runs there are and the more memory they hold, memory is
shared by runs and cached parts, and new weights empty the cache.
"""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field

from lacewing_daemon.direct import PromptPart


@dataclass(frozen=True)
class EngineModel:
    """Hold an engine's figures; times in ms.

    ``stride``: tokens of an event, all but a stream's first one.
    """

    slots: int = 48
    kv_tokens: int = 112_000
    step_ms: float = 6.1
    step_ms_a_run: float = 0.041
    step_ms_a_kilotoken: float = 0.005
    prefill_tokens_per_ms: float = 110.0
    piece_tokens: int = 4096
    stride: int = 4
    load_ms: float = 420.0
    fetch_tokens_per_ms: float = 230.0


@dataclass(eq=False)
class Run:
    """Hold one request at an engine; what has happened to it so far."""

    wall: str
    parts: tuple[PromptPart, ...]
    answer_tokens: int
    urgency: int
    order: int
    weights: int
    shared_kept: bool
    begun_old: bool = False
    left_to_read: int = -1
    made: int = 0
    mixed: int = 0
    first_ms: float | None = None

    @property
    def tokens(self) -> int:
        """Return the tokens that it holds in memory at the end."""
        return sum(part.tokens for part in self.parts) + self.answer_tokens


@dataclass
class EngineCounts:
    """Count what an engine did; tokens, and ms of its steps."""

    read: int = 0
    fetched: int = 0
    preempted: int = 0
    busy_ms: float = 0.0


@dataclass(frozen=True)
class StepEnd:
    """Hold what a step brought: runs with a first event, and those ended.

    ``told``: all runs with an event.
    """

    begun: tuple[Run, ...] = ()
    ended: tuple[Run, ...] = ()
    told: tuple[Run, ...] = ()


@dataclass
class Engine:
    """Hold one engine; ``step`` does the work of one step."""

    model: EngineModel
    weights: int = 1
    loading_until_ms: float = -1.0
    running: list[Run] = field(default_factory=list)
    waiting: list[Run] = field(default_factory=list)
    counts: EngineCounts = field(default_factory=EngineCounts)
    cached: OrderedDict[tuple[str, str], int] = field(
        default_factory=OrderedDict
    )

    def takes(self, now_ms: float) -> bool:
        """Tell whether a request sent now is not refused."""
        return now_ms >= self.loading_until_ms

    def add(self, run: Run) -> None:
        """Queue a run, more urgent ones first."""
        self.waiting.append(run)
        self.waiting.sort(key=_place_in_line)

    def load(self, version: int, now_ms: float) -> tuple[Run, ...]:
        """Begin to load weights; return the runs that are refused.

        Runs under way go on; what they make from now on mixes two versions.
        """
        refused = tuple(self.waiting)
        self.waiting.clear()
        self.cached.clear()
        self.weights = version
        self.loading_until_ms = now_ms + self.model.load_ms
        return refused

    def crash(self) -> tuple[Run, ...]:
        """Lose everything; return the runs that are lost."""
        lost = (*self.running, *self.waiting)
        self.running.clear()
        self.waiting.clear()
        self.cached.clear()
        return lost

    def drop(self, run: Run) -> None:
        """Stop a run that its router has broken off."""
        if run in self.running:
            self.running.remove(run)
        if run in self.waiting:
            self.waiting.remove(run)

    def step(self, now_ms: float) -> tuple[float, StepEnd]:
        """Do one step; return how long it takes and what it brings."""
        self._admit()
        if not self.running:
            return 0.0, StepEnd()
        read = self._read()
        begun = []
        ended = []
        told = []
        for run in list(self.running):
            if run.left_to_read > 0:
                continue
            if run.made == 0:
                begun.append(run)
            run.made += 1
            if run.made % self.model.stride == 1 or self.model.stride == 1:
                told.append(run)
            if run.weights != self.weights:
                run.mixed += 1
            if run.made >= run.answer_tokens:
                ended.append(run)
                self.running.remove(run)
        took_ms = self._step_ms(read)
        self.counts.busy_ms += took_ms
        for run in begun:
            run.first_ms = now_ms + took_ms
        return took_ms, StepEnd(tuple(begun), tuple(ended), tuple(told))

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.model.slots:
            run = self.waiting[0]
            if not self._make_room(run):
                return
            self.waiting.pop(0)
            self._begin(run)
            self.running.append(run)

    def _begin(self, run: Run) -> None:
        """Work out what must be read: what is neither held nor fetched."""
        held = 0
        for part in run.parts[:-1]:
            if (run.wall, part.part_id) not in self.cached:
                break
            held += part.tokens
        prompt = sum(part.tokens for part in run.parts)
        shared = prompt - run.parts[-1].tokens
        fetched = shared - held if run.shared_kept else 0
        self.counts.fetched += fetched
        # A transfer holds the run up like reading so many tokens.
        speed = self.model.prefill_tokens_per_ms
        as_read = int(fetched / self.model.fetch_tokens_per_ms * speed)
        run.left_to_read = prompt - held - fetched + as_read
        self.counts.read += prompt - held - fetched
        for part in run.parts[:-1]:
            self.cached[run.wall, part.part_id] = part.tokens
            self.cached.move_to_end((run.wall, part.part_id))

    def _make_room(self, run: Run) -> bool:
        """Evict cached parts, then less urgent runs, for a run's memory."""
        while self._used() + run.tokens > self.model.kv_tokens:
            if self.cached:
                self.cached.popitem(last=False)
                continue
            victim = self._least_urgent()
            if victim is None or victim.urgency <= run.urgency:
                return False
            self.running.remove(victim)
            victim.left_to_read = -1
            self.counts.preempted += 1
            self.add(victim)
        return True

    def _used(self) -> int:
        used = sum(self.cached.values())
        for run in self.running:
            used += run.parts[-1].tokens + run.made
        return used

    def _least_urgent(self) -> Run | None:
        if not self.running:
            return None
        return max(self.running, key=_place_in_line)

    def _read(self) -> int:
        budget = self.model.piece_tokens
        for run in self.running:
            piece = min(run.left_to_read, budget)
            run.left_to_read -= max(0, piece)
            budget -= max(0, piece)
        return self.model.piece_tokens - budget

    def _step_ms(self, read: int) -> float:
        model = self.model
        took_ms = model.step_ms
        took_ms += model.step_ms_a_run * len(self.running)
        took_ms += model.step_ms_a_kilotoken * self._used() / 1000
        return took_ms + read / model.prefill_tokens_per_ms


def _place_in_line(run: Run) -> tuple[int, int]:
    return (run.urgency, run.order)
