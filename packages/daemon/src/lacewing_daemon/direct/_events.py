"""Split a stream of server-sent events."""

_SEPARATORS = (b'\n\n', b'\r\n\r\n', b'\r\r')
_MAX_SEPARATOR_BYTES = max(map(len, _SEPARATORS))
_LINE_ENDS = b'\r\n'


class EventSplitter:
    """Buffer bytes and return complete events with their blank lines.

    An upstream may be interrupted in the middle of an event. A caller could
    not tell such a partial event from the start of the next one, so partial
    events are never returned.
    """

    def __init__(self) -> None:
        self._remainder = b''
        self._has_returned_events = False

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._remainder

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event was begun that is not complete."""
        return bool(self._remainder.strip(_LINE_ENDS))

    @property
    def has_returned_events(self) -> bool:
        """Return whether any event was complete."""
        return self._has_returned_events

    def feed(self, piece: bytes) -> list[bytes]:
        """Add a piece; return the events that it completes."""
        data = self._remainder + piece
        events = []
        start = 0
        # The remainder has no separator, but may end inside one.
        searched = max(0, len(self._remainder) - _MAX_SEPARATOR_BYTES + 1)
        ends = _SeparatorEnds(data, searched)
        while (end := ends.next(start)) >= 0:
            events.append(data[start:end])
            start = end
        self._remainder = data[start:]
        self._has_returned_events = self._has_returned_events or bool(events)
        return events


class _SeparatorEnds:
    """Find the ends of separators; each byte is searched once for each.

    A search for all separators after each event would read the rest of the
    data again and again for those that it does not have.
    """

    def __init__(self, data: bytes, start: int) -> None:
        self._data = data
        self._positions = []
        for separator in _SEPARATORS:
            self._positions.append(data.find(separator, start))

    def next(self, start: int) -> int:
        """Return the end of the first separator from there, -1 for none."""
        first_end = -1
        for number, separator in enumerate(_SEPARATORS):
            position = self._positions[number]
            if 0 <= position < start:
                position = self._data.find(separator, start)
                self._positions[number] = position
            end = position + len(separator)
            if position >= 0 and (first_end < 0 or end < first_end):
                first_end = end
        return first_end
