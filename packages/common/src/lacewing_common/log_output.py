"""Write log lines without blocking on their reader."""

import atexit
import queue
import threading
from typing import TextIO

# Lines buffered while the reader is slow: a few seconds at the highest rate at
# which a process logs, about 1 MB.
MAX_LINES = 2000
# Maximum wait for buffered lines to be written when the process terminates.
END_WAIT_S = 0.5


class LineOutput:
    """Write lines from a thread; drop lines when the buffer is full.

    If the reader pauses, the pipe fills up and the next write to it would
    block the process with all its requests. Here only the thread blocks.
    The number of dropped lines is logged in a separate line as soon as the
    reader continues.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_LINES) -> None:
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(max_lines)
        # Each counter is updated by one thread only, so no update is lost.
        self._dropped = 0
        self._reported = 0
        self._idle = threading.Event()
        self._idle.set()
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()
        atexit.register(self.wait_written)

    @property
    def dropped(self) -> int:
        """Return the number of dropped lines not yet reported."""
        return self._dropped - self._reported

    def write(self, line: str) -> None:
        """Queue one line without blocking."""
        self._idle.clear()
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing: each line is written as soon as possible."""

    def wait_written(self) -> None:
        """Wait for a limited time until all queued lines are written."""
        self._idle.wait(END_WAIT_S)

    def _write_lines(self) -> None:
        while True:
            if self._lines.empty():
                self._idle.set()
            line = self._lines.get()
            if line is None:
                return
            self._write_line(line)

    def _write_line(self, line: str) -> None:
        dropped = self.dropped
        if dropped:
            self._reported += dropped
            line += f'{{"event": "log: Dropped lines.", "count": {dropped}}}\n'
        try:
            self._stream.write(line)
            self._stream.flush()
        except (OSError, ValueError):
            # The reader has closed the pipe; the error can't be logged.
            return
