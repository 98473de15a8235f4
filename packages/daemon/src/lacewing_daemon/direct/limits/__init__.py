"""Hold limits over all routers together."""

from lacewing_daemon.direct.limits._allowance import WindowBounds
from lacewing_daemon.direct.limits._ledger import LimitTerms
from lacewing_daemon.direct.limits._limiter import Charge
from lacewing_daemon.direct.limits._named import NamedLimits
from lacewing_daemon.direct.limits._teams import TeamLimiter

__all__ = [
    'Charge',
    'LimitTerms',
    'NamedLimits',
    'TeamLimiter',
    'WindowBounds',
]
