"""Number the attempts of one router incarnation."""


class Sequences:
    """Give out sequence numbers and know the lowest that is still open.

    Agents may forget every attempt below that floor, so it must not pass
    an attempt that this router may still ask about: the agent would have
    to answer "never seen" to one that ran.
    """

    def __init__(self) -> None:
        self._next = 1
        # Numbers only grow, so the first key is the lowest.
        self._open: dict[int, None] = {}

    @property
    def oldest_open(self) -> int:
        """Return the lowest open number, or the next when none is open."""
        for sequence in self._open:
            return sequence
        return self._next

    def open(self) -> int:
        """Give out the next number."""
        sequence = self._next
        self._next += 1
        self._open[sequence] = None
        return sequence

    def close(self, sequence: int) -> None:
        """Promise never to ask about a number again."""
        self._open.pop(sequence, None)
