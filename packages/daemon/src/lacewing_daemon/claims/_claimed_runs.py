"""Run an attempt under its claim and keep its answer."""

from collections.abc import Awaitable
from collections.abc import Callable
from hashlib import blake2b
from typing import Protocol

from lacewing_common.claim_key import call_digest
from lacewing_common.claim_key import claim_key
from lacewing_common.verdict import Refusal
from lacewing_common.verdict import Verdict
from lacewing_common.wire import CacheReport
from lacewing_common.wire import End
from lacewing_common.wire import Head
from lacewing_common.wire import Refused
from lacewing_common.wire import Start

from lacewing_daemon.claims._claims import Claims
from lacewing_daemon.claims._record import ClaimState
from lacewing_daemon.claims._record import Outcome
from lacewing_daemon.claims._requests import ClaimRequest
from lacewing_daemon.claims._requests import Closing
from lacewing_daemon.claims._requests import Permit

_DIGEST_BYTES = 16
_LONGEST_TYPE = 128


class ClaimedAttempt(Protocol):
    """Give what a claimed run needs of an attempt."""

    @property
    def start(self) -> Start:
        """Return the request."""

    @property
    def head(self) -> Head | None:
        """Return the start of the answer, once known."""

    @property
    def outcome(self) -> End | Refused | None:
        """Return how the attempt ended, once known."""

    @property
    def held_refusal(self) -> Refusal | None:
        """Return the "not run" that was held back."""

    def hold_not_run(self) -> None:
        """Hold a refusal as not run back until it is refused again."""

    def copy_payload(self, take: Callable[[bytes], None]) -> None:
        """Hand each piece of the answer on as it comes."""

    def put_head(
        self, status: int, content_type: str, replayed: bool = False
    ) -> None:
        """Take the start of the answer."""

    def put_whole(self, body: bytes) -> None:
        """Take a whole body."""

    def finish(
        self, prompt_tokens: int, output_tokens: int, cache: CacheReport
    ) -> None:
        """End with a whole answer."""

    def refuse(self, refusal: Refusal) -> None:
        """End with a refusal."""


class _AnswerCopy:
    """Keep a short answer; of a longer one its digest."""

    def __init__(self, most_bytes: int) -> None:
        self._most_bytes = most_bytes
        self._digest = blake2b(digest_size=_DIGEST_BYTES)
        self._body: bytes | None = b''
        self._length = 0

    def take(self, payload: bytes) -> None:
        """Take a piece."""
        self._length += len(payload)
        self._digest.update(payload)
        if self._body is None:
            return
        self._body += payload
        if len(self._body) > self._most_bytes:
            self._body = None

    def outcome(self, head: Head, end: End) -> Outcome:
        """Return what is to be kept."""
        body = self._body
        if self._length != end.length:
            # Bytes went out that were not copied. Kept, the rest would be
            # given to a repeat as the whole answer; without a body the
            # repeat is told that the call ran and its answer isn't kept.
            body = None
        if len(head.content_type) > _LONGEST_TYPE:
            body = None
        return Outcome(
            head.status,
            head.content_type[:_LONGEST_TYPE],
            self._digest.digest(),
            body,
        )


class ClaimedRuns:
    """Let an attempt run only under a permit."""

    def __init__(self, claims: Claims) -> None:
        self._claims = claims

    def needs_claim(self, start: Start) -> bool:
        """Tell whether a call must be claimed before it runs."""
        return bool(start.idempotency_key) and not start.idempotent

    async def run(
        self, attempt: ClaimedAttempt, admit: Callable[[], Awaitable[None]]
    ) -> None:
        """Claim, run, then keep the answer or withdraw the claim.

        The answer goes out before it is kept: to wait for the platform
        would hold every answer for a write, and in an outage for ever. The
        price: if the agent's VM is lost in between, a repeat gets "may have
        run" though the first caller had its answer.
        """
        request = _request(attempt.start)
        limits = self._claims.limits
        wait_s = attempt.start.budget_ms / 1000 or limits.wait_s
        answer = await self._claims.claim(request, wait_s)
        if isinstance(answer, Refusal):
            attempt.refuse(answer)
            return
        if isinstance(answer, Outcome):
            _replay(attempt, answer)
            return
        copy = _AnswerCopy(limits.body_bytes)
        attempt.copy_payload(copy.take)
        attempt.hold_not_run()
        try:
            await admit()
        finally:
            await self._close(attempt, answer, copy)

    async def _close(
        self, attempt: ClaimedAttempt, permit: Permit, copy: _AnswerCopy
    ) -> None:
        refusal = attempt.held_refusal
        closing = _closing(attempt, permit.request, copy)
        self._claims.close_permit(closing)
        if refusal is None:
            return
        # A router takes "not run" to another worker. There the claim must
        # be gone, or this true "not run" would end as "may have run".
        seconds = self._claims.limits.wait_s
        await self._claims.written(permit.request, seconds)
        attempt.refuse(refusal)


def _closing(
    attempt: ClaimedAttempt, request: ClaimRequest, copy: _AnswerCopy
) -> Closing:
    if attempt.held_refusal is not None:
        return Closing(request, None)
    outcome = attempt.outcome
    if isinstance(outcome, End) and attempt.head is not None:
        return Closing(
            request, ClaimState.RAN, copy.outcome(attempt.head, outcome)
        )
    if isinstance(outcome, Refused) and outcome.verdict is Verdict.RAN:
        return Closing(request, ClaimState.RAN)
    return Closing(request, ClaimState.UNCERTAIN)


def _request(start: Start) -> ClaimRequest:
    return ClaimRequest(
        claim_key(start.team, start.service, start.idempotency_key),
        call_digest(start.method, start.path, start.body),
        str(start.attempt),
    )


def _replay(attempt: ClaimedAttempt, outcome: Outcome) -> None:
    attempt.put_head(outcome.status, outcome.content_type, replayed=True)
    attempt.put_whole(outcome.body or b'')
    attempt.finish(0, 0, CacheReport())
