"""Read the log files of several processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec
from lacewing_common.log_lines import LogLine


@dataclass(frozen=True)
class ParsedLogs:
    """Hold the lines of all files by time; ``skipped_count`` are not ours."""

    lines: tuple[LogLine, ...]
    skipped_count: int


def read_logs(paths: Iterable[Path]) -> ParsedLogs:
    """Read JSON lines; whatever stands before a line's object is passed over.

    Supervisors put their own time and the process's name there. Raises
    OSError when a file can't be read.
    """
    lines = []
    unread = 0
    for path in paths:
        for text in path.read_bytes().splitlines():
            line = _read(text)
            if line is None:
                unread += 1
                continue
            lines.append(line)
    lines.sort(key=_time_of)
    return ParsedLogs(tuple(lines), unread)


def _read(text: bytes) -> LogLine | None:
    begin = text.find(b'{')
    if begin < 0:
        return None
    try:
        return msgspec.json.decode(text[begin:], type=LogLine)
    except msgspec.DecodeError:
        return None


def _time_of(line: LogLine) -> float:
    return line.timestamp.timestamp()
