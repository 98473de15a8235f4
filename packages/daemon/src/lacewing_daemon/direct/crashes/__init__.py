"""Find out which requests crash the upstreams that run them."""

from lacewing_daemon.direct.crashes._guard import CrashGuard
from lacewing_daemon.direct.crashes._ledger import CrashLedger
from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import Start
from lacewing_daemon.direct.crashes._record import Suspect

__all__ = [
    'CrashGuard',
    'CrashLedger',
    'CrashRecord',
    'Start',
    'Suspect',
]
