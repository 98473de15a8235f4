"""Put the bytes of one answer in order, each of them once."""

import time

from lacewing_common.wire import Data

from lacewing_daemon.router._metrics import DROPPED_FRAMES

# Confirming each token would double the frames of a link; confirming rarely
# makes the agent keep more of each answer.
ACK_STEP_BYTES = 16 * 1024


class AnswerOrder:
    """Count the bytes received in order and those confirmed."""

    def __init__(self) -> None:
        self._received = 0
        self._confirmed = 0
        self._asked_from = -1
        self._first_byte_at_s: float | None = None

    @property
    def received(self) -> int:
        """Return the number of bytes received in order."""
        return self._received

    @property
    def first_byte_at_s(self) -> float | None:
        """Return ``time.monotonic`` at the first byte, None before."""
        return self._first_byte_at_s

    def take(self, data: Data) -> bytes | None:
        """Return the bytes that are new; None where some are missing."""
        payload = data.payload
        skip = self._received - data.offset
        if skip < 0:
            # The agent sent past what it was asked for. The bytes between
            # would be missing at the caller.
            DROPPED_FRAMES.labels('gap').inc()
            return None
        if skip > 0:
            payload = payload[skip:]
            DROPPED_FRAMES.labels('repeated').inc()
        self._received += len(payload)
        if self._first_byte_at_s is None:
            self._first_byte_at_s = time.monotonic()
        return payload

    def is_whole(self, length: int) -> bool:
        """Tell whether all bytes of an answer came."""
        if length == self._received:
            return True
        # An End that doesn't fit the bytes received would pass a cut answer
        # as a whole one.
        DROPPED_FRAMES.labels('end-out-of-order').inc()
        return False

    def take_ask(self) -> bool:
        """Tell whether to ask for the bytes after a gap: once for each.

        Each frame beyond the gap would ask, and each Ask bring all of them
        again.
        """
        if self._asked_from == self._received:
            return False
        self._asked_from = self._received
        return True

    def take_confirmation(self) -> bool:
        """Tell whether enough was received to confirm it."""
        if self._received - self._confirmed < ACK_STEP_BYTES:
            return False
        self._confirmed = self._received
        return True
