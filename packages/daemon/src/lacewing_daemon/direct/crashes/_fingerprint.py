"""Compute digests that are equal for requests that differ only in id."""

from hashlib import blake2b

from lacewing_daemon.direct._call import CallerRequest

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
