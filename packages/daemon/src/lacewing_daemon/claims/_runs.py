"""Remember the permits in use, until their end is written."""

import asyncio
from contextlib import suppress

from lacewing_common.verdict import Refusal

from lacewing_daemon.claims._record import ClaimState
from lacewing_daemon.claims._record import Outcome
from lacewing_daemon.claims._requests import ClaimRequest
from lacewing_daemon.claims._requests import Closing
from lacewing_daemon.claims._ruling import key_reused
from lacewing_daemon.claims._ruling import replay
from lacewing_daemon.claims._ruling import still_running
from lacewing_daemon.claims._ruling import uncertain


class Run:
    """Hold one permit in use."""

    def __init__(self, request: ClaimRequest) -> None:
        self._request = request
        self._closing: Closing | None = None
        self._ended = asyncio.Event()

    @property
    def request(self) -> ClaimRequest:
        """Return what the permit was given for."""
        return self._request

    def end(self, closing: Closing) -> None:
        """Take what became of it."""
        self._closing = closing
        self._ended.set()

    async def join(
        self, request: ClaimRequest, seconds: float
    ) -> Outcome | Refusal | None:
        """Answer a repeat; None when the first never ran."""
        if request.call != self._request.call:
            return key_reused()
        if not self._ended.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await self._ended.wait()
        closing = self._closing
        if closing is None:
            return still_running()
        if closing.state is None:
            return None
        if closing.state is ClaimState.UNCERTAIN:
            return uncertain()
        return replay(closing.outcome)
