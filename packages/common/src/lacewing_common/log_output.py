"""Write log lines without ever waiting for their reader."""

import atexit
import queue
import threading
from typing import TextIO

# Lines kept while the reader is behind: some seconds of the most that a
# process writes, about 1 MB.
MAX_LINES = 2000
# How long the end of a process waits for the last lines to be taken.
END_WAIT_S = 0.5


class LineOutput:
    """Hand lines to a thread that writes them; drop those beyond a bound.

    A reader that pauses fills the pipe, and the next write to it would stop
    the process with all its requests. Here only the thread waits. What was
    dropped is told in a line of its own once the reader goes on.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_LINES) -> None:
        self._stream = stream
        self._lines: queue.Queue[str | None] = queue.Queue(max_lines)
        # Each is written by one thread only, so that no count is lost.
        self._dropped = 0
        self._told = 0
        self._idle = threading.Event()
        self._idle.set()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        atexit.register(self.end)

    @property
    def dropped(self) -> int:
        """Return the lines dropped since the last that were told."""
        return self._dropped - self._told

    def write(self, line: str) -> None:
        """Take one line; never waits."""
        self._idle.clear()
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._dropped += 1

    def flush(self) -> None:
        """Do nothing: each line is written as soon as it can be."""

    def end(self) -> None:
        """Wait a moment until the lines taken so far are written."""
        self._idle.wait(END_WAIT_S)

    def _run(self) -> None:
        while True:
            if self._lines.empty():
                self._idle.set()
            line = self._lines.get()
            if line is None:
                return
            self._put(line)

    def _put(self, line: str) -> None:
        dropped = self.dropped
        if dropped:
            self._told += dropped
            line += f'{{"event": "log: Dropped lines.", "count": {dropped}}}\n'
        try:
            self._stream.write(line)
            self._stream.flush()
        except (OSError, ValueError):
            # The reader is gone; there is nobody left to tell.
            return
