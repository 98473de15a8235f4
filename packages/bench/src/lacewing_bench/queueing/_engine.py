"""Model an engine that prefills in chunks and orders by urgency."""

from lacewing_bench.queueing._load import Job

SLOTS = 64
KV_TOKENS = 109_624
STEP_S = 0.00518
TOKENS_PER_S = 49_600.0
CHUNK_TOKENS = 4096.0


class Engine:
    """Run steps: prefill up to a chunk, and a token of each started run."""

    def __init__(self) -> None:
        self._waiting: list[Job] = []
        self._prefilling: list[Job] = []
        self._running: list[Job] = []
        self._kv_tokens = 0
        self.is_stepping = False

    @property
    def in_flight(self) -> int:
        """Return the number of all requests there."""
        waiting = len(self._waiting) + len(self._prefilling)
        return waiting + len(self._running)

    @property
    def kv_tokens(self) -> int:
        """Return the tokens of all requests there."""
        return self._kv_tokens + sum(job.kv_tokens for job in self._waiting)

    def waiting_tokens(self) -> dict[int, float]:
        """Return the tokens still to be prefilled, by urgency."""
        tokens: dict[int, float] = {}
        for job in (*self._waiting, *self._prefilling):
            urgency = job.kind.urgency
            tokens[urgency] = tokens.get(urgency, 0.0) + job.left_tokens
        return tokens

    def add(self, job: Job) -> None:
        """Queue a request, the more urgent before the others."""
        self._waiting.append(job)
        self._waiting.sort(key=lambda each: each.kind.urgency)

    def step(self, now_s: float) -> float:
        """Run a step and return its duration, 0 without work."""
        self._drop_expired(now_s)
        self._admit()
        if not self._prefilling and not self._running:
            return 0.0
        room = CHUNK_TOKENS
        prefilled = []
        self._prefilling.sort(key=lambda each: each.kind.urgency)
        for job in self._prefilling:
            done = min(room, job.left_tokens)
            job.left_tokens -= done
            room -= done
            if job.left_tokens <= 0:
                prefilled.append(job)
        took_s = STEP_S + (CHUNK_TOKENS - room) / TOKENS_PER_S
        for job in self._running:
            job.output_left -= 1
        for job in prefilled:
            self._prefilling.remove(job)
            self._running.append(job)
            job.first_s = now_s + took_s
            job.output_left -= 1
        for job in list(self._running):
            if job.output_left <= 0:
                job.ended_s = now_s + took_s
                self._running.remove(job)
                self._kv_tokens -= job.kv_tokens
        return took_s

    def _admit(self) -> None:
        while self._waiting:
            job = self._waiting[0]
            if len(self._prefilling) + len(self._running) >= SLOTS:
                return
            if self._kv_tokens + job.kv_tokens > KV_TOKENS:
                return
            self._waiting.pop(0)
            self._kv_tokens += job.kv_tokens
            self._prefilling.append(job)

    def _drop_expired(self, now_s: float) -> None:
        """Drop requests whose callers have left."""
        for jobs in (self._waiting, self._prefilling, self._running):
            for job in list(jobs):
                if now_s <= job.arrived_s + job.kind.deadline_s:
                    continue
                jobs.remove(job)
                if jobs is not self._waiting:
                    self._kv_tokens -= job.kv_tokens
