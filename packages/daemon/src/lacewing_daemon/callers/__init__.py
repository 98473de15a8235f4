"""Bound what all callers together make a process hold."""

from lacewing_daemon.callers._account import CallerAccount
from lacewing_daemon.callers._account import Held
from lacewing_daemon.callers._account import Holding
from lacewing_daemon.callers._account import Wait
from lacewing_daemon.callers._bounds import caller_bounds
from lacewing_daemon.callers._bounds import CallerBounds
from lacewing_daemon.callers._limit import CallerLimit
from lacewing_daemon.callers._server import BoundedServer
from lacewing_daemon.callers._stream import counted_stream
from lacewing_daemon.callers._stream import CountedStream

__all__ = [
    'BoundedServer',
    'CallerAccount',
    'CallerBounds',
    'CallerLimit',
    'CountedStream',
    'Held',
    'Holding',
    'Wait',
    'caller_bounds',
    'counted_stream',
]
