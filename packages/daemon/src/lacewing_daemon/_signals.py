"""Handle stop signals: drain on the first, exit on the second."""

import asyncio
import os
import signal
from collections.abc import Callable

from lacewing_common.exits import SIGNAL_BASE
from lacewing_common.log import close_logs
from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.reload_signal import deliver_reload_signal

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Set an event on the first stop signal; exit at once on the second.

    With ``patient`` the second signal is ignored: a platform that stops
    processes may repeat the signal, and it kills those that take too long.
    """

    def __init__(self, patient: bool = False) -> None:
        self._patient = patient
        self._stopping = asyncio.Event()
        self._log = get_log(Part.MAIN)

    @property
    def stopping(self) -> asyncio.Event:
        """Return the event that the first stop signal sets."""
        return self._stopping

    def listen(self) -> None:
        """Handle SIGTERM and SIGINT in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(number, self._on_signal, number)

    def _on_signal(self, number: signal.Signals) -> None:
        if self._stopping.is_set() and self._patient:
            self._log.info(
                'Already draining; signal ignored.', signal=number.name
            )
            return
        if self._stopping.is_set():
            # An operator who signals twice does not want to wait for streams
            # that a dead caller may keep open until the drain period ends.
            self._log.warning('Exiting without a drain.', signal=number.name)
            close_logs()
            os._exit(SIGNAL_BASE + number)
        self._log.info('Draining.', signal=number.name)
        self._stopping.set()


def on_sighup(callback: Callable[[], None]) -> None:
    """Register a callback for SIGHUP; it handles one that was held too."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, callback)
    deliver_reload_signal()
