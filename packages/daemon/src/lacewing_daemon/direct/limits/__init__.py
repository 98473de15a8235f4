"""Hold the limits of teams over all routers together."""

from lacewing_daemon.direct.limits._allowance import WindowBounds
from lacewing_daemon.direct.limits._ledger import LimitTerms
from lacewing_daemon.direct.limits._limiter import Charge
from lacewing_daemon.direct.limits._limiter import TeamLimiter
from lacewing_daemon.direct.limits._named import NamedLimits

__all__ = [
    'Charge',
    'LimitTerms',
    'NamedLimits',
    'TeamLimiter',
    'WindowBounds',
]
