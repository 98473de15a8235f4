"""Hold what a caller asks for, decoded once."""

from dataclasses import dataclass

from tornado.httputil import HTTPHeaders


@dataclass(frozen=True)
class PromptPart:
    """Name one part of a prompt by the digest of its text."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Describe a prompt: its parts in order, the last one its own.

    ``expected_tokens`` is the caller's guess of the answer's length, or the
    most that it may have.
    """

    model: str
    tokens: int
    max_answer_tokens: int
    expected_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]


@dataclass(frozen=True)
class CallerRequest:
    """Hold one request as read from its caller.

    ``received_s`` is on the process's steady clock; ``deadline_s`` counts
    from it, None if the caller gave none. ``after_event`` is the id of the
    last event that the caller has of a stream it resumes.
    """

    method: str
    path: str
    host: str
    request_id: str
    headers: HTTPHeaders
    body: bytes
    received_s: float
    deadline_s: float | None
    key: str
    prompt: Prompt | None
    after_event: int | None
