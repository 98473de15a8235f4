"""Report crashes that are counted as one."""

from collections.abc import Sequence

from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.direct._metrics import CRASHES_AT_ONE_MOMENT
from lacewing_daemon.direct.crashes._moments import Moment
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation

# Maximum number of upstreams named in a log line.
MAX_NAMED = 32
# A moment is logged again once it has grown by this factor, since its crashes
# are reported one after the other.
GROWTH_FACTOR = 2

_log = get_log(Part.LINK)


class MomentLog:
    """Log moments with several crashes, and export their number."""

    def __init__(self) -> None:
        self._logged: dict[UpstreamIncarnation, int] = {}

    def update(self, moments: Sequence[Moment]) -> None:
        """Report the current moments; log those that are new or larger."""
        logged: dict[UpstreamIncarnation, int] = {}
        for moment in moments:
            size = max(self._logged.get(one, 0) for one in moment)
            if len(moment) >= GROWTH_FACTOR * size:
                size = len(moment)
                named = sorted({one.upstream_id for one in moment})
                _log.warning(
                    'Crashes at one moment count as one.',
                    crashes=size,
                    upstreams=named[:MAX_NAMED],
                )
            for incarnation in moment:
                logged[incarnation] = size
        self._logged = logged
        CRASHES_AT_ONE_MOMENT.set(sum(len(moment) for moment in moments))
