"""Read the log files of several processes."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec
from lacewing_common.log_lines import LogLine


@dataclass(frozen=True)
class ParsedLogs:
    """Hold log lines by time; ``skipped_count`` lines were not parsed."""

    lines: tuple[LogLine, ...]
    skipped_count: int


def read_logs(paths: Iterable[Path]) -> ParsedLogs:
    """Read JSON lines and ignore the text before the object of a line.

    Supervisors prefix lines with a timestamp and the name of the process.
    Raises OSError if a file can't be read.
    """
    lines = []
    skipped_count = 0
    for path in paths:
        for text in path.read_bytes().splitlines():
            line = _parse(text)
            if line is None:
                skipped_count += 1
                continue
            lines.append(line)
    lines.sort(key=_timestamp_key)
    return ParsedLogs(tuple(lines), skipped_count)


def _parse(text: bytes) -> LogLine | None:
    start = text.find(b'{')
    if start < 0:
        return None
    try:
        return msgspec.json.decode(text[start:], type=LogLine)
    except msgspec.DecodeError:
        return None


def _timestamp_key(line: LogLine) -> float:
    return line.timestamp.timestamp()
