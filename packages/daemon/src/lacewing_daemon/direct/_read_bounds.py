"""Bound what is read from other processes, and record what is past it."""

from enum import Enum

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import READS_CUT

# The head of an answer to a request.
MAX_HEADER_BYTES = 32 * 1024
# Interim answers (1xx) before the answer to a request.
MAX_INTERIM_ANSWERS = 8
# An answer that is not passed on as events. It is held until it is whole:
# one that breaks off is requested again, which its caller must not notice.
MAX_HELD_BYTES = 4 * 1024 * 1024
# An event of a stream, which is held until it is complete.
MAX_EVENT_BYTES = 256 * 1024
# Answers to other requests that are skipped before the expected one.
MAX_SKIPPED_BYTES = 1024 * 1024
MAX_SKIP_S = 0.3
# An upstream's report lists its runs.
MAX_REPORT_BYTES = 256 * 1024
# Only the status of an answer to an order is used.
MAX_ORDER_ANSWER_BYTES = 16 * 1024
# A page of a list has 1 MiB and one more object of 1 MiB at most. Changes
# that exceed this are read as a list.
MAX_STORE_ANSWER_BYTES = 3 * 1024 * 1024

_log = get_log(Part.LINK)


class ReadSource(Enum):
    """Name what an answer past its bound was an answer to.

    SKIPPED: an earlier request, before the expected answer.
    """

    REQUEST = 'request'
    SKIPPED = 'skipped'
    REPORT = 'report'
    ORDER = 'order'
    STORE = 'store'


def record_cut(source: ReadSource, received: int, reason: str) -> None:
    """Count and log an answer that was cut off after some bytes."""
    READS_CUT.labels(source.value).inc()
    _log.warning(
        'Cut off an answer.',
        source=source.value,
        received=received,
        reason=reason,
    )
