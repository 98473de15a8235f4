"""Bound what all callers together make a process hold."""

from lacewing_daemon.callers._account import CallerAccount
from lacewing_daemon.callers._account import Held
from lacewing_daemon.callers._account import Holding
from lacewing_daemon.callers._account import Wait
from lacewing_daemon.callers._bounds import caller_bounds
from lacewing_daemon.callers._bounds import CallerBounds
from lacewing_daemon.callers._bounds import CallerLimits
from lacewing_daemon.callers._bounds import VmSize
from lacewing_daemon.callers._limit import CallerLimit
from lacewing_daemon.callers._server import BoundedServer
from lacewing_daemon.callers._stream import CallerStream
from lacewing_daemon.callers._stream import holding_of

__all__ = [
    'BoundedServer',
    'CallerAccount',
    'CallerBounds',
    'CallerLimit',
    'CallerLimits',
    'CallerStream',
    'Held',
    'Holding',
    'VmSize',
    'Wait',
    'caller_bounds',
    'holding_of',
]
