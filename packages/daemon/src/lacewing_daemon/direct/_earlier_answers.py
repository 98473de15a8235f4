"""Tell copies of the answers that a connection carried from other answers."""

from dataclasses import dataclass
from hashlib import blake2b

from lacewing_daemon.direct._site import ReplyHead

_DIGEST_BYTES = 16


@dataclass(frozen=True)
class AnswerPrint:
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
    def answer_print(self) -> AnswerPrint:
        """Return what was read so far."""
        return AnswerPrint(
            self._head.status,
            self._head.signature,
            self._head.not_run,
            self._body.digest(),
        )

    def update(self, piece: bytes) -> None:
        """Add a piece of the body."""
        self._body.update(piece)


class EarlierAnswers:
    """Remember the answers of a connection by the ids of their requests."""

    def __init__(self) -> None:
        self._prints: dict[str, AnswerPrint] = {}

    def record(self, request_id: str, answer: AnswerPrint) -> None:
        """Remember the answer to a request."""
        self._prints[request_id] = answer

    def may_be_copy(self, head: ReplyHead) -> bool:
        """Return whether an answer begins like an earlier one."""
        known = self._prints.get(head.request_id)
        if known is None:
            return False
        return (
            head.status == known.status
            and head.signature == known.signature
            and head.not_run == known.not_run
        )

    def is_copy(self, answer: AnswerDigest) -> bool:
        """Return whether an answer that was read is an earlier one again."""
        known = self._prints.get(answer.head.request_id)
        return known == answer.answer_print
