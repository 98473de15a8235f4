"""Name the walls between KV caches that must not be shared."""

from hashlib import blake2b

from lacewing_daemon.direct._routing_config import Team

_SHARED = ''
_DIGEST_BYTES = 10


def compute_cache_salt(team: Team | None, model: str, weights: int) -> str:
    """Return the name under which a request's KV cache is kept.

    Cached parts are found only under the same name. It holds the version of
    the weights, so that nothing made by older ones is ever used, and the
    team where that one shares with nobody.
    """
    owner = _SHARED
    if team is not None and team.isolated:
        owner = team.name
    text = '\0'.join((owner, model, str(weights)))
    return blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
