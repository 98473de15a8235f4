"""Write down what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Append timed lines to a file."""

    def __init__(self, path: Path) -> None:
        self._start_s = time.monotonic()
        self._file = path.open('w')

    def add(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f'{time.monotonic() - self._start_s:9.4f} {text}\n')

    def close(self) -> None:
        """Close the file."""
        self._file.close()
