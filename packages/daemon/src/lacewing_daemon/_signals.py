"""Turn signals into an orderly stop, then into an immediate one."""

import asyncio
import os
import signal
from collections.abc import Callable

from lacewing_common.exits import SIGNAL_BASE
from lacewing_common.log import close_logs
from lacewing_common.log import get_log
from lacewing_common.log import Part

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Set an event on the first stop signal; end at once on the second.

    With ``patient`` the second changes nothing: where a platform stops
    processes it may repeat the signal, and it kills what takes too long.
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
            self._log.info('Drains already.', signal=number.name)
            return
        if self._stopping.is_set():
            # An operator who asks twice no longer wants to wait for streams
            # that a dead caller may hold open until the drain period ends.
            self._log.warning('Ending at once.', signal=number.name)
            close_logs()
            os._exit(SIGNAL_BASE + number)
        self._log.info('Draining.', signal=number.name)
        self._stopping.set()


def on_sighup(callback: Callable[[], None]) -> None:
    """Call back on each SIGHUP."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, callback)
