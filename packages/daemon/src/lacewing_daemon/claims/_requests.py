"""Describe what a range is asked to write."""

import asyncio
from dataclasses import dataclass
from typing import TypeAlias

from lacewing_common.verdict import Refusal

from lacewing_daemon.claims._record import ClaimState
from lacewing_daemon.claims._record import Outcome


@dataclass(frozen=True)
class ClaimRequest:
    """Ask for the claim of a key for one attempt of a call."""

    key: bytes
    call: bytes
    attempt: str


@dataclass(frozen=True)
class Permit:
    """Allow one attempt to run its call, once."""

    request: ClaimRequest


class Raced:
    """Say that another attempt of the key got in since; look again."""


RACED = Raced()
ClaimAnswer: TypeAlias = Permit | Outcome | Refusal


@dataclass(frozen=True)
class Closing:
    """Tell what became of a permit.

    ``state`` None withdraws the claim: the call surely never ran.
    """

    request: ClaimRequest
    state: ClaimState | None
    outcome: Outcome | None = None


class Ticket:
    """Wait for the answer to one request."""

    def __init__(self, request: ClaimRequest) -> None:
        self._request = request
        self._answer: asyncio.Future[ClaimAnswer | Raced] = (
            asyncio.get_running_loop().create_future()
        )
        self._abandoned = False

    @property
    def request(self) -> ClaimRequest:
        """Return what was asked for."""
        return self._request

    @property
    def abandoned(self) -> bool:
        """Tell whether nobody waits any more."""
        return self._abandoned

    def resolve(self, answer: ClaimAnswer | Raced) -> None:
        """Give the answer."""
        if not self._answer.done():
            self._answer.set_result(answer)

    async def wait(self, seconds: float) -> ClaimAnswer | Raced | None:
        """Wait for the answer; None when it did not come in time.

        From then on the ticket is abandoned: its caller is told "not run",
        which a permit given later would make untrue.
        """
        done, _ = await asyncio.wait([self._answer], timeout=seconds)
        if done:
            return self._answer.result()
        self._abandoned = True
        return None
