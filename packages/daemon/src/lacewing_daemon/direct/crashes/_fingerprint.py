"""Compute digests that are equal for requests that differ only in id."""

from hashlib import blake2b

from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._call import Prompt

# 96 bits: no collision is expected among 100,000 requests, and a request with
# the digest of another one cannot be forged.
_DIGEST_BYTES = 12


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


def part_fingerprints(prompt: Prompt | None) -> tuple[str, ...]:
    """Return a digest of each part that other prompts may share, in order.

    A part is the same in prompts of any team, model and route.
    """
    if prompt is None:
        return ()
    digests: dict[str, None] = {}
    for part in prompt.shared:
        text = part.part_id.encode(errors='surrogateescape')
        digest = blake2b(text, digest_size=_DIGEST_BYTES, person=b'part')
        digests[digest.hexdigest()] = None
    return tuple(digests)
