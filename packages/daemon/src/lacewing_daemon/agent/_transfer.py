"""Control one HTTP exchange with the worker and read its headers."""

import asyncio
import re
import time
from dataclasses import dataclass
from io import BytesIO

import pycurl

_STATUS = re.compile(b'[0-9]{3}')
_FIRST_FINAL_STATUS = 200


@dataclass(frozen=True)
class AnswerStart:
    """Hold the status and the headers that matter of an answer."""

    status: int
    content_type: str
    request_id: str
    epoch: str


class Transfer:
    """Pause, go on with or abort one HTTP exchange."""

    def __init__(self) -> None:
        self._handle: pycurl.Curl | None = None
        self._aborted = False
        self._body_read = False
        self._paused = False
        self._touched_at = time.monotonic()

    @property
    def silent_s(self) -> float:
        """Return the seconds since the last byte; 0 while paused."""
        if self._paused:
            return 0.0
        return time.monotonic() - self._touched_at

    @property
    def aborted(self) -> bool:
        """Tell whether the exchange was given up."""
        return self._aborted

    @property
    def body_read(self) -> bool:
        """Tell whether any byte of the request's body may have left."""
        return self._body_read

    def touch(self) -> None:
        """Note that bytes of the answer came."""
        self._touched_at = time.monotonic()

    def pause(self) -> None:
        """Stop reading the answer; the worker's socket fills up."""
        self._paused = True
        self._set_pause(pycurl.PAUSE_RECV)

    def resume(self) -> None:
        """Read the answer on."""
        self._paused = False
        self.touch()
        self._set_pause(pycurl.PAUSE_CONT)

    def abort(self) -> None:
        """Close the connection at once.

        The progress callback ends the transfer; pausing and going on makes
        libcurl call it now and not at its next second.
        """
        self._aborted = True
        self._set_pause(pycurl.PAUSE_RECV)
        self._set_pause(pycurl.PAUSE_CONT)

    def begin(self, handle: pycurl.Curl, body: bytes | None) -> None:
        """Take the handle that runs the exchange."""
        self._handle = handle
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, self._progress)
        if body:
            self._watch_body(handle, body)

    def end(self) -> None:
        """Let go of the handle, which serves another exchange now."""
        self._handle = None

    def _watch_body(self, handle: pycurl.Curl, body: bytes) -> None:
        source = BytesIO(body)

        def read(size: int) -> bytes:
            self._body_read = True
            return source.read(size)

        def seek(offset: int, origin: int) -> int:
            # When a kept connection breaks before the first byte of an
            # answer, libcurl rewinds the body and silently sends it again.
            # The worker may have run it before the break, and would run one
            # attempt twice, seen only in its own count.
            if self._body_read:
                return pycurl.SEEKFUNC_FAIL
            source.seek(offset, origin)
            return pycurl.SEEKFUNC_OK

        handle.setopt(pycurl.READFUNCTION, read)
        handle.setopt(pycurl.SEEKFUNCTION, seek)

    def _progress(self, *_counts: float) -> int:
        return 1 if self._aborted else 0

    def _set_pause(self, bits: int) -> None:
        if self._handle is None:
            return
        try:
            self._handle.pause(bits)
        except pycurl.error:
            # The transfer failed while it was paused; the exchange reports
            # that by itself.
            return


class StallTimer:
    """Abort an exchange that has been silent for too long.

    libcurl's own low-speed limit sets a timer anew at each chunk, which
    cost a fifth of the agent's time for a token.
    """

    def __init__(self, transfer: Transfer, stall_s: float) -> None:
        self._transfer = transfer
        self._stall_s = stall_s
        self._loop = asyncio.get_running_loop()
        self._handle = self._loop.call_later(stall_s, self._look)

    def cancel(self) -> None:
        """Stop watching."""
        self._handle.cancel()

    def _look(self) -> None:
        left_s = self._stall_s - self._transfer.silent_s
        if left_s <= 0:
            self._transfer.abort()
            return
        self._handle = self._loop.call_later(left_s, self._look)


class HeaderLines:
    """Collect header lines inside libcurl, read them outside of it."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []

    def collect(self, line: bytes) -> None:
        """Take one line; called by libcurl."""
        if line.startswith(b'HTTP/'):
            self._lines.clear()
        self._lines.append(line)

    def parse(self) -> AnswerStart | None:
        """Return the start of the final answer, or None before it."""
        if not self._lines:
            return None
        words = self._lines[0].split(None, 2)
        if len(words) < 2 or _STATUS.fullmatch(words[1]) is None:
            return None
        status = int(words[1])
        if status < _FIRST_FINAL_STATUS:
            return None
        fields: dict[str, str] = {}
        for line in self._lines[1:]:
            name, _, value = line.decode('latin1').partition(':')
            fields[name.strip().lower()] = value.strip()
        return AnswerStart(
            status,
            fields.get('content-type', ''),
            fields.get('x-request-id', ''),
            fields.get('x-engine-epoch', ''),
        )
