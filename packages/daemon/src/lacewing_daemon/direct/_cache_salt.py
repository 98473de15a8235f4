"""Compute the cache salt that separates KV caches."""

from hashlib import blake2b

from lacewing_daemon.direct._routing_config import Team

_SHARED = ''
_DIGEST_BYTES = 10


def compute_cache_salt(team: Team | None, model: str, weights: int) -> str:
    """Return the salt under which a request's KV cache is stored.

    Cached parts are found only under the same salt. It covers the version of
    the weights, so that no cache of older weights is ever used, and the team
    if that team is isolated.
    """
    owner = _SHARED
    if team is not None and team.isolated:
        owner = team.name
    text = '\0'.join((owner, model, str(weights)))
    return blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
