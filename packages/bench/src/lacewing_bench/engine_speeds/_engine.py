"""Model one engine whose machine is slowed by other workloads at times."""

from collections import deque
from dataclasses import dataclass
from random import Random

_MS = 1000.0


@dataclass(frozen=True)
class Slowdown:
    """Describe how machines are slowed: by how much, how often, how long.

    ``part``: fraction of the time; ``mean_s``: mean length of one period.
    """

    factor: float = 2.5
    part: float = 0.15
    mean_s: float = 0.06


class SharedMachine:
    """Alternate between the usual speed and a slowed one."""

    def __init__(self, slowdown: Slowdown, random: Random) -> None:
        self._slowdown = slowdown
        self._random = random
        self._is_slow = False
        self._until_s = 0.0

    def finish_s(self, begin_s: float, work_s: float) -> float:
        """Return when work ends that begins no earlier than that before."""
        now_s = begin_s
        while True:
            while self._until_s <= now_s:
                self._alternate()
            speed = 1.0 / self.slowdown
            if work_s <= (self._until_s - now_s) * speed:
                return now_s + work_s / speed
            work_s -= (self._until_s - now_s) * speed
            now_s = self._until_s

    @property
    def slowdown(self) -> float:
        """Return the slowdown where the last work ended."""
        return self._slowdown.factor if self._is_slow else 1.0

    def _alternate(self) -> None:
        slowdown = self._slowdown
        if slowdown.part <= 0:
            self._until_s = float('inf')
            return
        self._is_slow = not self._is_slow
        mean_s = slowdown.mean_s
        if not self._is_slow:
            mean_s *= (1 - slowdown.part) / slowdown.part
        self._until_s += self._random.expovariate(1 / mean_s)


@dataclass(frozen=True)
class Work:
    """Hold a prompt's queue, time to the first event, reported slowdown."""

    queued_tokens: float
    took_ms: float
    slowdown: float


class ModelEngine:
    """Prefill prompts one after the other."""

    def __init__(
        self,
        tokens_per_ms: float,
        step_ms: float,
        network_ms: float,
        machine: SharedMachine,
    ) -> None:
        self._tokens_per_ms = tokens_per_ms
        self._step_ms = step_ms
        self._network_ms = network_ms
        self._machine = machine
        self._free_s = 0.0
        self._open: deque[tuple[float, float, int]] = deque()

    def queued_tokens(self, now_s: float) -> float:
        """Return the tokens that are still to be prefilled."""
        while self._open and self._open[0][1] <= now_s:
            self._open.popleft()
        total = 0.0
        for begin_s, end_s, tokens in self._open:
            left = (end_s - now_s) / (end_s - begin_s)
            total += tokens * min(1.0, left)
        return total

    def prefill(self, tokens: int, speed: float, now_s: float) -> Work:
        """Prefill a prompt at a speed, where 1.0 is the usual one."""
        queued_tokens = self.queued_tokens(now_s)
        begin_s = max(now_s, self._free_s)
        work_ms = tokens / self._tokens_per_ms + self._step_ms
        self._free_s = self._machine.finish_s(begin_s, work_ms / speed / _MS)
        self._open.append((begin_s, self._free_s, tokens))
        took_ms = (self._free_s - now_s) * _MS + self._network_ms
        return Work(queued_tokens, took_ms, self._machine.slowdown)
