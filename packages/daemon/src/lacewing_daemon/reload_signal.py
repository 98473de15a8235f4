"""Keep SIGHUP for a process that can't handle it yet.

This module imports no other part, so that a process can call it before it
loads its libraries.
"""

import signal

_SIGNALS = (signal.SIGHUP,)


def hold_reload_signal() -> None:
    """Have the kernel keep SIGHUP until it is delivered.

    SIGHUP ends a process that has no handler for it. If it were ignored, a
    process that has read its settings would miss a change of them.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)


def deliver_reload_signal() -> None:
    """Deliver SIGHUP to its handler, also one that was kept."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _SIGNALS)
