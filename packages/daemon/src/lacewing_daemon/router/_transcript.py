"""Collect what a caller has been given of a streamed model answer."""

import msgspec

# Payloads wait unparsed until there are so many bytes: most streams are
# never cut, and their text is never asked for.
PARSE_ABOVE_BYTES = 16 * 1024

EVENT_END = b'\n\n'
DONE = b'[DONE]'
_DATA = b'data: '
_NUMBER = b'id: '


class Delta(msgspec.Struct, frozen=True):
    """Hold the new text of a chat chunk."""

    content: str | None = None


class ChunkChoice(msgspec.Struct, frozen=True):
    """Hold the one choice of a chunk, of a chat or of a completion."""

    delta: Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class Chunk(msgspec.Struct, frozen=True):
    """Hold what this router reads of a chunk."""

    id: str = ''
    created: int = 0
    choices: tuple[ChunkChoice, ...] = ()


class Event(msgspec.Struct, frozen=True):
    """Hold one server-sent event: its number and its data."""

    number: int
    data: bytes


_decoder = msgspec.json.Decoder(Chunk)


def events_of(payload: bytes) -> list[Event]:
    """Split whole server-sent events; 0 stands for a missing number."""
    events: list[Event] = []
    for block in payload.split(EVENT_END):
        number = 0
        data = b''
        for line in block.split(b'\n'):
            if line.startswith(_DATA):
                data = line[len(_DATA) :]
            if line.startswith(_NUMBER):
                number = int(line[len(_NUMBER) :])
        if data:
            events.append(Event(number, data))
    return events


class Transcript:
    """Hold the text, the tokens and the end of one stream so far."""

    def __init__(self) -> None:
        self._unparsed: list[bytes] = []
        self._unparsed_bytes = 0
        self._pieces: list[str] = []
        self._first: Chunk | None = None
        self._number = 0
        self._finished = False
        self._done = False
        self._readable = True

    @property
    def text(self) -> str:
        """Return the text so far."""
        return ''.join(self._pieces)

    @property
    def tokens(self) -> int:
        """Return the number of chunks that carried text."""
        return len(self._pieces)

    @property
    def number(self) -> int:
        """Return the number of the last event."""
        return self._number

    @property
    def first(self) -> Chunk | None:
        """Return the first chunk, None before."""
        return self._first

    @property
    def finished(self) -> bool:
        """Tell whether the last chunk, with its reason, was given."""
        return self._finished

    @property
    def done(self) -> bool:
        """Tell whether the end mark was given."""
        return self._done

    @property
    def readable(self) -> bool:
        """Tell whether all events were understood."""
        return self._readable

    def add(self, payload: bytes) -> None:
        """Add bytes given to the caller, whole events."""
        self._unparsed.append(payload)
        self._unparsed_bytes += len(payload)
        if self._unparsed_bytes > PARSE_ABOVE_BYTES:
            self.parse()

    def parse(self) -> None:
        """Read what has been added since."""
        payload = b''.join(self._unparsed)
        self._unparsed.clear()
        self._unparsed_bytes = 0
        try:
            for event in events_of(payload):
                self._read(event)
        except (ValueError, msgspec.DecodeError):
            # Text that was not understood would be missing from the prompt
            # of a continuation, and its words would come twice.
            self._readable = False

    def _read(self, event: Event) -> None:
        self._number = event.number
        if event.data == DONE:
            self._done = True
            return
        chunk = _decoder.decode(event.data)
        if self._first is None:
            self._first = chunk
        for choice in chunk.choices:
            text = choice.text
            if choice.delta is not None:
                text = choice.delta.content
            if text:
                self._pieces.append(text)
            if choice.finish_reason is not None:
                self._finished = True
