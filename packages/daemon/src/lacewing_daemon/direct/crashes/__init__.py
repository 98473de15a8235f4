"""Detect requests that crash upstreams, and block them."""

from lacewing_daemon.direct.crashes._guard import CrashGuard
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import Suspect
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation
from lacewing_daemon.direct.crashes._registry import CrashRegistry

__all__ = [
    'CrashGuard',
    'CrashRegistry',
    'CrashRecord',
    'UpstreamIncarnation',
    'Suspect',
]
