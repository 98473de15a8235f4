"""Find the team of a key, of which only the hash is kept."""

from collections.abc import Iterable
from hashlib import sha256

from lacewing_common.bundle import Team
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

_SCHEME = 'bearer'


def hash_key(key: str) -> str:
    """Return the SHA-256 of a team key, hex."""
    return sha256(key.encode()).hexdigest()


class KeyTable:
    """Hold the hashes of all team keys."""

    def __init__(self, teams: Iterable[Team]) -> None:
        self._teams: dict[str, Team] = {}
        for team in teams:
            for key_hash in team.key_hashes:
                self._teams[key_hash.lower()] = team

    def find(self, authorization: str) -> Team | Refusal:
        """Return the team that an Authorization header names."""
        scheme, _, key = authorization.partition(' ')
        if scheme.lower() != _SCHEME or not key.strip():
            return not_run(
                Reason.BAD_KEY,
                'expected the header "Authorization: Bearer <team key>"',
            )
        team = self._teams.get(hash_key(key.strip()))
        if team is None:
            return not_run(
                Reason.BAD_KEY,
                'no team has this key; ask an operator for a valid one',
            )
        return team
