"""Hold limits over all routers together."""

from lacewing_daemon.direct.limits._allowance import WindowBounds
from lacewing_daemon.direct.limits._ledger import LimitTerms
from lacewing_daemon.direct.limits._limiter import Charge
from lacewing_daemon.direct.limits._limiter import Denial
from lacewing_daemon.direct.limits._teams import TeamLimiter
from lacewing_daemon.direct.limits._upstreams import UpstreamLimiter

__all__ = [
    'Charge',
    'Denial',
    'LimitTerms',
    'TeamLimiter',
    'UpstreamLimiter',
    'WindowBounds',
]
