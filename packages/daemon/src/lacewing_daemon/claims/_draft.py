"""Draft the next version of a range from what waits to be written."""

import secrets
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

import msgspec
from lacewing_common.verdict import Refusal

from lacewing_daemon.claims._document import Book
from lacewing_daemon.claims._document import encode_claims
from lacewing_daemon.claims._folded import Folded
from lacewing_daemon.claims._limits import ClaimLimits
from lacewing_daemon.claims._record import Claim
from lacewing_daemon.claims._record import ClaimState
from lacewing_daemon.claims._record import Outcome
from lacewing_daemon.claims._requests import Closing
from lacewing_daemon.claims._requests import Ticket
from lacewing_daemon.claims._ruling import full
from lacewing_daemon.claims._ruling import is_settled
from lacewing_daemon.claims._ruling import key_reused
from lacewing_daemon.claims._ruling import of_another
from lacewing_daemon.claims._ruling import replay
from lacewing_daemon.claims._ruling import rule
from lacewing_daemon.claims._ruling import Ruling
from lacewing_daemon.claims._ruling import uncertain

_NONCE_BITS = 63


@dataclass
class Draft:
    """Hold the next claims and what depends on their being written.

    ``granted``: tickets whose claims are new in it. ``deferred``: tickets
    of a key that another ticket is granted here. ``doubtful``: tickets that
    an old version can't answer.
    """

    claims: dict[bytes, Claim]
    folded: Folded
    closings: tuple[Closing, ...] = ()
    granted: list[Ticket] = field(default_factory=list)
    granted_keys: set[bytes] = field(default_factory=set)
    deferred: list[Ticket] = field(default_factory=list)
    doubtful: list[Ticket] = field(default_factory=list)
    value: bytes = b''

    @property
    def changes(self) -> bool:
        """Tell whether there is anything to write."""
        return bool(self.granted or self.closings)


class Drafter:
    """Draft for one owner."""

    def __init__(self, owner: int, limits: ClaimLimits) -> None:
        self._owner = owner
        self._limits = limits

    def draft(
        self,
        book: Book,
        fresh: bool,
        closings: Iterable[Closing],
        tickets: Iterable[Ticket],
        now: int,
    ) -> Draft:
        """Close, then grant; answer the tickets that need no write."""
        draft = Draft(self._unexpired(book, now), book.folded)
        self._fold(draft, now, self._limits.fold_at_once)
        draft.closings = tuple(closings)
        for closing in draft.closings:
            self._close(draft.claims, closing, now)
        for ticket in tickets:
            self._take(draft, ticket, fresh, now)
        self._fit(draft, now)
        return draft

    def _unexpired(self, book: Book, now: int) -> dict[bytes, Claim]:
        oldest = now - self._limits.retention_s
        return {
            key: claim
            for key, claim in book.claims.items()
            if claim.at >= oldest
        }

    def _fold(self, draft: Draft, now: int, at_least: int) -> None:
        before = now - self._limits.fold_after_s
        old: list[Claim] = []
        for claim in draft.claims.values():
            if claim.state is ClaimState.RAN and claim.at < before:
                old.append(claim)
        if len(old) < at_least:
            return
        oldest = now - self._limits.retention_s
        draft.folded = draft.folded.joined(old, oldest)
        for claim in old:
            del draft.claims[claim.key]

    def _close(
        self, claims: dict[bytes, Claim], closing: Closing, now: int
    ) -> None:
        request = closing.request
        found = claims.get(request.key)
        if closing.state is not None:
            claims[request.key] = Claim(
                request.key,
                request.call,
                self._owner,
                '',
                now if found is None else found.at,
                closing.state,
                closing.outcome,
            )
            return
        # Only the attempt's own claim: a later attempt of the same key may
        # hold one by now, and removing that would let a second one run.
        if found is None or found.owner != self._owner:
            return
        if found.attempt == request.attempt and not is_settled(found):
            del claims[request.key]

    def _take(
        self, draft: Draft, ticket: Ticket, fresh: bool, now: int
    ) -> None:
        request = ticket.request
        if request.key in draft.granted_keys:
            draft.deferred.append(ticket)
            return
        found = draft.claims.get(request.key)
        oldest = now - self._limits.retention_s
        if found is None and draft.folded.holds(request.key, oldest):
            ticket.resolve(replay(None))
            return
        ruling = rule(found, request, self._owner)
        if ruling is Ruling.FREE:
            draft.claims[request.key] = Claim(
                request.key,
                request.call,
                self._owner,
                request.attempt,
                now,
                ClaimState.CLAIMED,
            )
            draft.granted.append(ticket)
            draft.granted_keys.add(request.key)
            return
        if not fresh and not is_settled(found):
            # Its owner may have told the outcome or withdrawn it since.
            draft.doubtful.append(ticket)
            return
        ticket.resolve(_answer(ruling, found))

    def _fit(self, draft: Draft, now: int) -> None:
        nonce = secrets.randbits(_NONCE_BITS)
        self._shed_bodies(draft.claims)
        draft.value = encode_claims(draft.claims, draft.folded, nonce)
        if len(draft.value) <= self._limits.object_bytes:
            return
        # Folding also drops the expired. Were it left to the next full lot,
        # a range full of expired keys would refuse for ever, as no call
        # runs any more that could be folded.
        self._fold(draft, now, 0)
        draft.value = encode_claims(draft.claims, draft.folded, nonce)
        if len(draft.value) <= self._limits.object_bytes:
            return
        for ticket in draft.granted:
            del draft.claims[ticket.request.key]
            ticket.resolve(full(self._limits.retention_s))
        draft.granted.clear()
        draft.value = encode_claims(draft.claims, draft.folded, nonce)

    def _shed_bodies(self, claims: dict[bytes, Claim]) -> None:
        """Keep the latest answers only; a claim without one still stands."""
        kept_bytes = 0
        for key in reversed(claims):
            claim = claims[key]
            outcome = claim.outcome
            if outcome is None or not outcome.body:
                continue
            kept_bytes += len(outcome.body)
            if kept_bytes > self._limits.bodies_bytes:
                claims[key] = _without_body(claim, outcome)


def _without_body(claim: Claim, outcome: Outcome) -> Claim:
    bare = msgspec.structs.replace(outcome, body=None)
    return msgspec.structs.replace(claim, outcome=bare)


def _answer(ruling: Ruling, found: Claim | None) -> Outcome | Refusal:
    if ruling is Ruling.REUSED:
        return key_reused()
    if ruling is Ruling.UNCERTAIN:
        return uncertain()
    if ruling is Ruling.RAN and found is not None:
        return replay(found.outcome)
    return of_another()
