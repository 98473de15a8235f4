"""Compute digests of what requests, and parts of prompts, have in common."""

from dataclasses import dataclass
from hashlib import blake2b

from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._call import PromptPart

# 96 bits: no collision is expected among 100,000 requests, and a request with
# the digest of another one cannot be forged.
_DIGEST_BYTES = 12
_PART_PREFIX = 'part-'
# Bounds the size of crash records; prompts have a few parts.
MAX_PARTS = 16


def fingerprint(request: CallerRequest, team: str) -> str:
    """Return a digest of the content of a request and of its team.

    The request id is left out, as it changes with each retry by the caller.
    The team is included, so that requests of one team never affect another.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for text in (request.method, request.host, request.path, team):
        digest.update(text.encode(errors='surrogateescape'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def part_fingerprint(part: PromptPart) -> str:
    """Return a digest of a part of a prompt.

    It is the same in prompts of any team, model and route.
    """
    text = part.part_id.encode(errors='surrogateescape')
    digest = blake2b(text, digest_size=_DIGEST_BYTES, person=b'part')
    return _PART_PREFIX + digest.hexdigest()


def is_part(subject: str) -> bool:
    """Return whether a fingerprint is that of a part, not of a request."""
    return subject.startswith(_PART_PREFIX)


@dataclass(frozen=True)
class RequestSubjects:
    """Identify what may cause crashes: a request and the parts of its prompt.

    ``parts`` has the fingerprints of the parts that other prompts may share.
    ``last_part`` is that of the last one, '' without a prompt; it may be a
    shared part of a later prompt.
    """

    request: str
    parts: tuple[str, ...] = ()
    last_part: str = ''

    @property
    def all(self) -> tuple[str, ...]:
        """Return the fingerprints of the request and of its shared parts."""
        return (self.request, *self.parts)


def identify(request: CallerRequest, team: str) -> RequestSubjects:
    """Return the subjects of a request."""
    same = fingerprint(request, team)
    prompt = request.prompt
    if prompt is None or not prompt.parts:
        return RequestSubjects(same)
    parts = []
    for part in prompt.parts[:MAX_PARTS]:
        parts.append(part_fingerprint(part))
    shared = dict.fromkeys(parts[: len(prompt.shared)])
    return RequestSubjects(same, tuple(shared), parts[-1])
