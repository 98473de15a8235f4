"""Follow whether a router is there to take an answer."""

import time
from collections.abc import Callable

# How long a leaving agent waits for the last Ack of an answer.
CONFIRM_S = 1.0


class Presence:
    """Hold the link that reads an answer, and how far it got.

    ``patience_s`` below is the time that a router whose link broke has to
    come back.
    """

    def __init__(self) -> None:
        self._on_change: Callable[[], None] | None = None
        self._left_at = 0.0
        self._delivered_at: float | None = None
        self._confirmed = False

    @property
    def attached(self) -> bool:
        """Tell whether a link reads the answer."""
        return self._on_change is not None

    def is_orphan(self, now: float, patience_s: float) -> bool:
        """Tell whether no router came back in time."""
        return not self.attached and now - self._left_at >= patience_s

    def awaits_end(
        self, now: float, patience_s: float, confirms: bool
    ) -> bool:
        """Tell whether a router still waits for the end of an answer.

        ``confirms`` says that routers confirm this end: it may be lost with
        the connection after it was sent.
        """
        if self._delivered_at is None:
            return not self.is_orphan(now, patience_s)
        if self._confirmed or not confirms:
            return False
        return now - self._delivered_at < CONFIRM_S

    def attach(self, on_change: Callable[[], None]) -> None:
        """Call a link back whenever there is more to send."""
        self._on_change = on_change

    def detach(self, on_change: Callable[[], None]) -> None:
        """Stop calling back, unless another link took over."""
        if self._on_change is not on_change:
            return
        self._on_change = None
        self._left_at = time.monotonic()

    def notify(self) -> None:
        """Tell the link that there is more to send."""
        if self._on_change is not None:
            self._on_change()

    def mark_delivered(self) -> None:
        """Record that a link has sent the outcome."""
        self._delivered_at = time.monotonic()

    def mark_confirmed(self, confirmed: bool) -> None:
        """Record whether the router has all bytes."""
        self._confirmed = confirmed
