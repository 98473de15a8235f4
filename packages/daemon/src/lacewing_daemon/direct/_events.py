"""Cut a stream into whole events and keep their order."""

_ID = b'id:'
_SEPARATORS = (b'\n\n', b'\r\n\r\n')


class EventSplitter:
    """Collect bytes and give out whole events, each with its blank line.

    An upstream may break off in the middle of an event. A caller that got
    that half could not tell it from the beginning of the next one, so half
    an event is never passed on.
    """

    def __init__(self) -> None:
        self._rest = b''

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._rest

    def feed(self, piece: bytes) -> list[bytes]:
        """Add a piece; return the events that are whole now."""
        data = self._rest + piece
        events = []
        begin = 0
        while True:
            end = _event_end(data, begin)
            if end < 0:
                break
            events.append(data[begin:end])
            begin = end
        self._rest = data[begin:]
        return events


def event_id(event: bytes) -> int | None:
    """Return the number that an event carries as its id, if any."""
    for line in event.splitlines():
        if not line.startswith(_ID):
            continue
        text = line[len(_ID) :].strip()
        return int(text) if text.isdigit() else None
    return None


def _event_end(data: bytes, begin: int) -> int:
    ends = []
    for separator in _SEPARATORS:
        found = data.find(separator, begin)
        if found >= 0:
            ends.append(found + len(separator))
    return min(ends) if ends else -1
