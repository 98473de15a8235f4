"""Hold the attempts that are open at one agent."""

from collections.abc import Iterable

from lacewing_daemon.router._attempt import Attempt


class InFlight:
    """Find attempts by sequence and count the blocks they still compute."""

    def __init__(self) -> None:
        # Sequences only grow, so the first attempt is the oldest.
        self._attempts: dict[int, Attempt] = {}
        self._prefilling: dict[int, int] = {}
        self._blocks = 0
        self._recent_blocks = 0
        self._recent = 0

    @property
    def count(self) -> int:
        """Return the number of open attempts."""
        return len(self._attempts)

    @property
    def blocks(self) -> int:
        """Return the blocks that attempts without a first byte compute."""
        return self._blocks

    @property
    def recent_blocks(self) -> int:
        """Return the blocks sent since the last load report."""
        return self._recent_blocks

    @property
    def recent(self) -> int:
        """Return the attempts sent since the last load report."""
        return self._recent

    @property
    def oldest(self) -> Attempt | None:
        """Return the attempt that has been open for longest."""
        for attempt in self._attempts.values():
            return attempt
        return None

    def all(self) -> Iterable[Attempt]:
        """Return the open attempts, the oldest first."""
        return self._attempts.values()

    def find(self, sequence: int) -> Attempt | None:
        """Return an open attempt."""
        return self._attempts.get(sequence)

    def add(self, attempt: Attempt) -> None:
        """Open an attempt."""
        sequence = attempt.id.sequence
        self._attempts[sequence] = attempt
        self._prefilling[sequence] = attempt.blocks
        self._blocks += attempt.blocks
        self._recent_blocks += attempt.blocks
        self._recent += 1

    def prefilled(self, attempt: Attempt) -> None:
        """Note that an attempt's prompt has been computed."""
        self._blocks -= self._prefilling.pop(attempt.id.sequence, 0)

    def remove(self, attempt: Attempt) -> None:
        """Forget an attempt."""
        self.prefilled(attempt)
        self._attempts.pop(attempt.id.sequence, None)

    def reported(self) -> None:
        """Note a load report: what was sent before is part of it."""
        self._recent_blocks = 0
        self._recent = 0
