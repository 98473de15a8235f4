"""Define the decoded request of a caller."""

from dataclasses import dataclass

from lacewing_common.verdict import Refusal
from tornado.httputil import HTTPHeaders


@dataclass(frozen=True)
class PromptPart:
    """Identify one part of a prompt by the digest of its text."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Describe a prompt by its parts in order; only the last is unshared.

    ``expected_tokens`` is the caller's estimate of the length of the answer,
    or else its maximum.
    """

    model: str
    tokens: int
    max_answer_tokens: int
    expected_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """Return the parts that other prompts may share."""
        return self.parts[:-1]


@dataclass(frozen=True, eq=False)
class CallerRequest:
    """Hold one request of a caller; requests are equal only to themselves.

    ``received_s`` is on the monotonic clock; ``deadline_s`` is relative to
    it, None if the caller set none. ``after_event`` is the id of the last
    event that the caller received of a stream that it resumes.
    ``stated_tokens``: prompt tokens and the maximum of answer tokens, None if
    the caller states none. ``resumed_request`` is the id of the request that
    brought the first event of a stream that is taken up, '' if none is named.
    ``place_error`` says why it can't be told after which event a stream is to
    go on, '' if it can. ``dropped_bytes``: what was read of a body that is
    too large and was not kept, 0 if ``body`` is complete.
    ``receive_refusal``: why the rest of it was not received, None if it was.
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
    after_event: str | None
    stated_tokens: int | None = None
    resumed_request: str = ''
    place_error: str = ''
    dropped_bytes: int = 0
    receive_refusal: Refusal | None = None
