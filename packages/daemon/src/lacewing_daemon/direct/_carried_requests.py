"""Tell copies of the answers on a connection from other answers."""

from dataclasses import dataclass
from hashlib import blake2b

from lacewing_daemon.direct._answer_end import HEAD
from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._site import ReplyHead
from lacewing_daemon.direct._stray_answers import StrayKind

_DIGEST_BYTES = 16


@dataclass(frozen=True)
class AnswerFingerprint:
    """Hold what an answer is compared by; ``body`` is a digest."""

    status: int
    signature: str | None
    not_run: bool
    body: bytes


class AnswerDigest:
    """Digest an answer while it is read."""

    def __init__(self, head: ReplyHead) -> None:
        self._head = head
        self._body = blake2b(digest_size=_DIGEST_BYTES)

    @property
    def head(self) -> ReplyHead:
        """Return the head of the answer."""
        return self._head

    @property
    def fingerprint(self) -> AnswerFingerprint:
        """Return what was read so far."""
        return AnswerFingerprint(
            self._head.status,
            self._head.signature,
            self._head.not_run,
            self._body.digest(),
        )

    def update(self, piece: bytes) -> None:
        """Add a piece of the body."""
        self._body.update(piece)


class CarriedRequests:
    """Remember the requests of a connection and their answers."""

    def __init__(self) -> None:
        self._ids: set[str] = set()
        self._head_ids: set[str] = set()
        self._fingerprints: dict[str, AnswerFingerprint] = {}

    def add(self, request: CallerRequest) -> None:
        """Record that a request is sent."""
        self._ids.add(request.request_id)
        if request.method == HEAD:
            self._head_ids.add(request.request_id)

    def record_answer(
        self, request_id: str, answer: AnswerFingerprint
    ) -> None:
        """Record the answer to a request."""
        self._fingerprints[request_id] = answer

    def has_id(self, request_id: str) -> bool:
        """Return whether a request with an id was sent."""
        return request_id in self._ids

    def method_of(self, request_id: str) -> str:
        """Return HEAD for a request with that method, '' for all others."""
        return HEAD if request_id in self._head_ids else ''

    def kind_of(self, head: ReplyHead) -> StrayKind:
        """Return which request an answer belongs to, judged by its head."""
        if head.request_id in self._ids:
            if self._begins_like_earlier(head):
                return StrayKind.EARLIER
            return StrayKind.DIFFERENT
        if head.request_id:
            return StrayKind.UNKNOWN
        return StrayKind.REFUSAL if head.is_refusal else StrayKind.UNNAMED

    def is_copy(self, answer: AnswerDigest) -> bool:
        """Return whether an answer that was read is an earlier one again."""
        known = self._fingerprints.get(answer.head.request_id)
        return known == answer.fingerprint

    def _begins_like_earlier(self, head: ReplyHead) -> bool:
        known = self._fingerprints.get(head.request_id)
        if known is None:
            return False
        return (
            head.status == known.status
            and head.signature == known.signature
            and head.not_run == known.not_run
        )
