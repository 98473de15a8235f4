"""Configure structlog: JSON lines with a fixed prefix for each part."""

import logging
import sys
from enum import Enum
from typing import cast
from typing import TextIO

import structlog
from structlog.typing import EventDict
from structlog.typing import FilteringBoundLogger
from structlog.typing import WrappedLogger

from lacewing_common.log_output import LineOutput


class Part(Enum):
    """List the parts of the system that write logs."""

    MAIN = 'main'
    CALLERS = 'callers'
    ROUTING = 'routing'
    LINK = 'link'
    ATTEMPT = 'attempt'
    WORKER = 'worker'
    CLAIMS = 'claims'
    MEMBERS = 'members'
    BUNDLE = 'bundle'
    PLATFORM = 'platform'
    PLACEMENT = 'placement'
    LIMITS = 'limits'
    AUDIT = 'audit'
    STANDIN = 'standin'


def _add_prefix(
    _logger: WrappedLogger, _method: str, event: EventDict
) -> EventDict:
    part = event.pop('part', Part.MAIN.value)
    event['event'] = f'{part}: {event["event"]}'
    return event


_outputs: list[LineOutput] = []


def _output() -> LineOutput:
    if not _outputs:
        _outputs.append(LineOutput(sys.stdout))
    return _outputs[0]


def close_logs() -> None:
    """Flush pending lines before the process terminates immediately."""
    for output in _outputs:
        output.wait_written()


def set_up_logs(level: str, process_id: str) -> None:
    """Write JSON lines of at least ``level`` to standard output."""
    level_number = logging.getLevelNamesMapping()[level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _add_prefix,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=structlog.WriteLoggerFactory(cast(TextIO, _output())),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(process=process_id)


def get_log(part: Part) -> FilteringBoundLogger:
    """Return the logger of a part."""
    log: FilteringBoundLogger = structlog.get_logger(part=part.value)
    return log
