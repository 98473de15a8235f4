"""Name the limits of callers, and record which one acted."""

import time
from enum import Enum

from lacewing_common.log import get_log
from lacewing_common.log import Part
from prometheus_client import Counter
from prometheus_client import Gauge

CALLERS_LIMITED = Counter(
    'lacewing_callers_limited',
    'Requests refused and connections closed by a limit of callers, by limit',
    ['limit'],
)
HELD_BYTES = Gauge(
    'lacewing_callers_held_bytes',
    'Bytes of heads, bodies and answers that callers make the process hold',
)
CONNECTIONS = Gauge(
    'lacewing_callers_connections', 'Open connections of callers'
)
# A crowd must not take the processor time of the log as well.
LOG_INTERVAL_S = 5.0

_log = get_log(Part.CALLERS)


class CallerLimit(Enum):
    """Name a limit; the value is a label of a metric and stands in the log.

    CONNECTIONS and HELD_BYTES bound what all callers have together. HEAD_SIZE
    and HEAD_TIME are those of the configuration. CHUNK_SIZE is the mean size
    of the chunks of a body, WRITE_STALL the time without progress of an
    answer, HELD_STREAM what is held of a stream for a caller that takes no
    chunks.
    """

    CONNECTIONS = 'connections'
    HELD_BYTES = 'held_bytes'
    HEAD_SIZE = 'head_size'
    HEAD_TIME = 'head_time'
    CHUNK_SIZE = 'chunk_size'
    WRITE_STALL = 'write_stall'
    HELD_STREAM = 'held_stream'


class LimitRecorder:
    """Count each time that a limit acts, and log it at intervals."""

    def __init__(self) -> None:
        self._logged_s: dict[CallerLimit, float] = {}
        self._unlogged: dict[CallerLimit, int] = {}

    def record(self, limit: CallerLimit, held: int = 0) -> None:
        """Record that a limit acted on a caller that held some bytes."""
        CALLERS_LIMITED.labels(limit.value).inc()
        count = self._unlogged.get(limit, 0) + 1
        self._unlogged[limit] = count
        now_s = time.monotonic()
        logged_s = self._logged_s.get(limit)
        if logged_s is not None and now_s - logged_s < LOG_INTERVAL_S:
            return
        self._logged_s[limit] = now_s
        self._unlogged[limit] = 0
        _log.warning(
            'A limit of callers acted.',
            limit=limit.value,
            times=count,
            held=held,
        )
