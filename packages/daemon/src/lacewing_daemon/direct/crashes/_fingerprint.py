"""Tell whether two requests are the same but for their ids."""

from hashlib import blake2b

from lacewing_daemon.direct._call import CallerRequest

# Of 100,000 requests no two that differ share 96 bits, and nobody can make
# one that passes for another's.
_DIGEST_BYTES = 12


def fingerprint(request: CallerRequest, team: str) -> str:
    """Return a digest of what a request asks for and of who asks it.

    A caller that asks again has another request id. The team belongs to it,
    so that what one team sends never concerns another one.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for text in (request.method, request.host, request.path, team):
        digest.update(text.encode(errors='surrogateescape'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()
