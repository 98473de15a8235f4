"""Keep the bytes of an answer until its router has them."""

from bisect import bisect_right

PIECE_BYTES = 64 * 1024


class KeptAnswer:
    """Hold an answer from the first byte not yet acknowledged.

    Bytes are held in the pieces in which they came, so that what is read
    ends where a piece ended: at the end of a server-sent event.
    """

    def __init__(self) -> None:
        self._starts: list[int] = []
        self._pieces: list[bytes] = []
        self._length = 0
        self._acknowledged = 0
        self._dropped = False

    @property
    def length(self) -> int:
        """Return the answer's length so far, in bytes."""
        return self._length

    @property
    def acknowledged(self) -> int:
        """Return the bytes that the router has confirmed."""
        return self._acknowledged

    @property
    def unacknowledged(self) -> int:
        """Return the bytes that the router has not confirmed."""
        return self._length - self._acknowledged

    @property
    def held(self) -> int:
        """Return the bytes in memory."""
        return self._length - self._first

    @property
    def _first(self) -> int:
        return self._starts[0] if self._starts else self._length

    def holds(self, offset: int) -> bool:
        """Tell whether the answer can be read from an offset on."""
        return self._first <= offset <= self._length

    def read(self, offset: int) -> bytes:
        """Return whole pieces from an offset on, about 64 KB; or b''."""
        index = bisect_right(self._starts, offset) - 1
        if index < 0 or offset >= self._length:
            return b''
        pieces = [self._pieces[index][offset - self._starts[index] :]]
        size = len(pieces[0])
        for piece in self._pieces[index + 1 :]:
            if size + len(piece) > PIECE_BYTES:
                break
            pieces.append(piece)
            size += len(piece)
        return b''.join(pieces)

    def append(self, payload: bytes) -> None:
        """Add bytes that end where an event ends."""
        if not payload:
            return
        if not self._dropped:
            self._starts.append(self._length)
            self._pieces.append(payload)
        self._length += len(payload)

    def append_whole(self, body: bytes) -> None:
        """Add bytes that may be cut anywhere."""
        for start in range(0, len(body), PIECE_BYTES):
            self.append(body[start : start + PIECE_BYTES])

    def acknowledge(self, offset: int) -> None:
        """Forget whole pieces below an offset that the router has."""
        if offset <= self._acknowledged:
            return
        self._acknowledged = min(offset, self._length)
        count = bisect_right(self._starts, self._acknowledged) - 1
        if self._acknowledged == self._length:
            count = len(self._starts)
        if count <= 0:
            return
        del self._starts[:count]
        del self._pieces[:count]

    def drop(self) -> None:
        """Forget all bytes, also those still to come."""
        self._dropped = True
        self._starts.clear()
        self._pieces.clear()
