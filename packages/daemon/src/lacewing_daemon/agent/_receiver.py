"""Take a worker's answer into an attempt, checked by its id."""

import time
from enum import Enum

from lacewing_daemon.agent._attempt import Attempt
from lacewing_daemon.agent._cache import Run
from lacewing_daemon.agent._events import EventReader
from lacewing_daemon.agent._events import read_document
from lacewing_daemon.agent._events import Usage
from lacewing_daemon.agent._metrics import MISMATCHED
from lacewing_daemon.agent._metrics import PAUSES
from lacewing_daemon.agent._strays import Stray
from lacewing_daemon.agent._transfer import AnswerStart
from lacewing_daemon.agent._transfer import Transfer

# A longer whole answer of an engine is no answer of ours.
MAX_WHOLE_BYTES = 4 * 1024 * 1024

_EVENT_STREAM = 'text/event-stream'
_OK = 200
_FIRST_ERROR = 400


class Mode(Enum):
    """Tell how an answer's body is taken.

    EVENTS: event by event. WHOLE: collected, checked, then taken. RAW:
    taken as it comes. STRAY: another request's, collected for it. IGNORED:
    not this request's answer.
    """

    EVENTS = 'events'
    WHOLE = 'whole'
    RAW = 'raw'
    STRAY = 'stray'
    IGNORED = 'ignored'


class Receiver:
    """Take one or more exchanges' bytes for one attempt.

    ``from_engine`` says that the body itself carries the request's id;
    ``run`` hears of the first byte of an engine's answer.
    """

    def __init__(
        self, attempt: Attempt, from_engine: bool, run: Run | None = None
    ) -> None:
        self._attempt = attempt
        self._run = run
        self._request_id = str(attempt.attempt_id)
        self._from_engine = from_engine
        self._reader = EventReader(self._request_id)
        self._mode = Mode.IGNORED
        self._start: AnswerStart | None = None
        self._transfer: Transfer | None = None
        self._body = bytearray()
        self._usage = Usage()
        self._mismatched = False
        self._epoch = ''
        self._stale = False
        self._first_byte_at: float | None = None
        self._exchanges = 0

    @property
    def resumed(self) -> bool:
        """Tell whether this is not the first exchange."""
        return self._exchanges > 1

    @property
    def run(self) -> Run | None:
        """Return the engine's work for this answer, if an engine's."""
        return self._run

    @property
    def first_byte_at(self) -> float | None:
        """Return the monotonic time of the first byte taken."""
        return self._first_byte_at

    @property
    def mode(self) -> Mode:
        """Return how the present body is taken."""
        return self._mode

    @property
    def start(self) -> AnswerStart | None:
        """Return the present answer's start."""
        return self._start

    @property
    def reader(self) -> EventReader:
        """Return the reader of events."""
        return self._reader

    @property
    def mismatched(self) -> bool:
        """Tell whether the present answer was another request's."""
        return self._mismatched

    @property
    def stale(self) -> bool:
        """Tell whether the engine restarted since the first exchange."""
        return self._stale

    @property
    def usage(self) -> Usage:
        """Return the token counts of the answer."""
        if self._mode is Mode.EVENTS:
            return self._reader.usage
        return self._usage

    @property
    def error_text(self) -> str:
        """Return the start of an error's body."""
        return bytes(self._body[:200]).decode(errors='replace')

    def begin(self, transfer: Transfer) -> None:
        """Take the control of the next exchange."""
        self._transfer = transfer
        self._exchanges += 1
        self._start = None
        self._mode = Mode.IGNORED
        self._mismatched = False
        self._body.clear()
        self._reader.restart()
        self._attempt.use_flow(self)

    def head(self, start: AnswerStart) -> None:
        """Take status and headers."""
        self._start = start
        if not self._is_ours(start):
            MISMATCHED.labels('answer').inc()
            if self._from_engine:
                self._drop()
                return
            self._mode = Mode.STRAY
            self._mismatched = True
            return
        if self._epoch and start.epoch != self._epoch:
            # Two runs of an engine may answer with different words; joined,
            # they would make one answer that neither gave.
            self._stale = True
            self._drop()
            return
        self._epoch = start.epoch
        if not self._from_engine:
            self._mode = Mode.RAW
            self._attempt.put_head(start.status, start.content_type)
            return
        streamed = start.content_type.startswith(_EVENT_STREAM)
        if start.status != _OK or not streamed:
            self._mode = Mode.WHOLE
            return
        self._mode = Mode.EVENTS
        self._attempt.put_head(start.status, start.content_type)

    def body(self, chunk: bytes) -> None:
        """Take bytes of the body."""
        if self._mode is Mode.IGNORED:
            return
        if self._first_byte_at is None:
            self._first_byte_at = time.monotonic()
            if self._run is not None:
                self._run.first_byte()
        if self._mode is Mode.RAW:
            self._attempt.put(chunk)
            return
        if self._mode is Mode.EVENTS:
            self._attempt.put(self._reader.feed(chunk))
            if self._reader.gap and self._transfer is not None:
                self._transfer.abort()
            return
        self._body += chunk
        if len(self._body) > MAX_WHOLE_BYTES:
            self._drop()

    def stray(self) -> Stray | None:
        """Return the whole answer of another request, if that is what came."""
        if self._start is None or self._mode is not Mode.STRAY:
            return None
        return Stray(self._start, bytes(self._body))

    def take_whole(self) -> bool:
        """Hand a collected body on; false if it is another request's."""
        start = self._start
        if start is None or self._mode is not Mode.WHOLE:
            return False
        body = bytes(self._body)
        if start.status < _FIRST_ERROR:
            document = read_document(body)
            if document is None or document.id != self._request_id:
                MISMATCHED.labels('body').inc()
                self._mismatched = True
                return False
            if document.usage is not None:
                self._usage = document.usage
        self._attempt.put_head(start.status, start.content_type)
        self._attempt.put_whole(body)
        return True

    def pause(self) -> None:
        """Stop reading from the worker: the router is behind."""
        if self._transfer is not None:
            PAUSES.inc()
            self._transfer.pause()

    def resume(self) -> None:
        """Read on."""
        if self._transfer is not None:
            self._transfer.resume()

    def abort(self) -> None:
        """Close the exchange."""
        if self._transfer is not None:
            self._transfer.abort()

    def _is_ours(self, start: AnswerStart) -> bool:
        if start.request_id == self._request_id:
            return True
        # An error made before the worker read the id may lack it.
        return not start.request_id and start.status >= _FIRST_ERROR

    def _drop(self) -> None:
        self._mode = Mode.IGNORED
        self._mismatched = True
        self._body.clear()
        self.abort()
