"""Split a bundle into immutable parts and put it together again.

The parts of one bundle are always the same bytes: lists are sorted by name,
and a team's bucket follows from its name alone. So the edit of one team
changes one part, and every process computes the same digests.
"""

from hashlib import sha256
from operator import attrgetter
from typing import TypeVar

import msgspec

from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Model
from lacewing_common.bundle import Operator
from lacewing_common.bundle import Policies
from lacewing_common.bundle import Service
from lacewing_common.bundle import Team
from lacewing_common.document import part_digest
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

TEAM_BUCKETS = 64


class _Tagged(
    msgspec.Struct, frozen=True, tag_field='part', forbid_unknown_fields=True
):
    """Mark the contents of a part; the tag tells which."""


class TrustPart(_Tagged, tag='trust', frozen=True):
    """Hold who may sign the next bundle, and how many have to."""

    operators: tuple[Operator, ...]
    policies: Policies


class _SecretPart(_Tagged, tag='secret', frozen=True):
    prefix_secret: str


class _ModelsPart(_Tagged, tag='models', frozen=True):
    models: tuple[Model, ...]


class _ServicesPart(_Tagged, tag='services', frozen=True):
    services: tuple[Service, ...]


class _TeamsPart(_Tagged, tag='teams', frozen=True):
    bucket: int
    teams: tuple[Team, ...]


_N = TypeVar('_N', Model, Operator, Service, Team)
_Content = TrustPart | _SecretPart | _ModelsPart | _ServicesPart | _TeamsPart
_DECODER = msgspec.json.Decoder(_Content)
_ENCODER = msgspec.json.Encoder()
# Trust, secret, models, services; then the teams.
_FIXED_PARTS = 4


class Contents(msgspec.Struct, frozen=True):
    """Hold the digests of a bundle's parts, the trust part's first."""

    trust: str
    rest: tuple[str, ...]

    @property
    def digest(self) -> str:
        """Return the digest of the bundle."""
        return bundle_digest(self.trust, rest_digest(self.rest))


def rest_digest(digests: tuple[str, ...]) -> str:
    """Return the SHA-256 over the digests of all parts but the first."""
    return sha256('\n'.join(digests).encode()).hexdigest()


def bundle_digest(trust: str, rest: str) -> str:
    """Return the digest of a bundle from those of its trust and its rest.

    Made of two halves, so that the proof of who could sign carries the
    trust parts of earlier bundles without the rest of them.
    """
    return sha256(f'bundle\n{trust}\n{rest}'.encode()).hexdigest()


def contents_of(digests: tuple[str, ...]) -> Contents | Refusal:
    """Read the digests of a head."""
    if len(digests) < _FIXED_PARTS:
        return _malformed(
            f'expected at least {_FIXED_PARTS} parts, got {len(digests)}'
        )
    return Contents(digests[0], digests[1:])


def contents_of_parts(parts: tuple[bytes, ...]) -> Contents:
    """Compute the digests of what ``split`` returned."""
    digests = tuple(part_digest(part) for part in parts)
    return Contents(digests[0], digests[1:])


def split(bundle: Bundle) -> tuple[bytes, ...]:
    """Split a bundle into its parts, the trust part first."""
    contents: list[_Content] = [
        TrustPart(_by_name(bundle.operators), bundle.policies),
        _SecretPart(bundle.prefix_secret),
        _ModelsPart(_by_name(bundle.models)),
        _ServicesPart(_by_name(bundle.services)),
        *_team_parts(bundle.teams),
    ]
    return tuple(_ENCODER.encode(content) for content in contents)


def join(parts: tuple[bytes, ...]) -> Bundle | Refusal:
    """Put a bundle together from exactly the bytes that ``split`` made.

    Any other bytes are refused: two encodings of one bundle would have two
    digests, and processes would differ on what was signed.
    """
    try:
        contents = [_DECODER.decode(part) for part in parts]
    except msgspec.DecodeError as error:
        return _malformed(str(error))
    bundle = _assemble(contents)
    if bundle is None or split(bundle) != parts:
        return _malformed('the parts are not those of one bundle, in order')
    return bundle


def read_trust(part: bytes) -> TrustPart | Refusal:
    """Read a trust part."""
    try:
        return msgspec.json.decode(part, type=TrustPart)
    except msgspec.DecodeError as error:
        return _malformed(f'trust part: {error}')


def canonical(bundle: Bundle) -> Bundle:
    """Sort the lists of a bundle as ``join`` returns them."""
    joined = join(split(bundle))
    if isinstance(joined, Refusal):
        raise ValueError(joined.message)
    return joined


def _assemble(contents: list[_Content]) -> Bundle | None:
    if len(contents) < _FIXED_PARTS:
        return None
    trust, secret, models, services = contents[:_FIXED_PARTS]
    if not isinstance(trust, TrustPart):
        return None
    if not isinstance(secret, _SecretPart):
        return None
    if not isinstance(models, _ModelsPart):
        return None
    if not isinstance(services, _ServicesPart):
        return None
    teams: list[Team] = []
    for content in contents[_FIXED_PARTS:]:
        if not isinstance(content, _TeamsPart):
            return None
        teams.extend(content.teams)
    return Bundle(
        teams=_by_name(tuple(teams)),
        services=services.services,
        models=models.models,
        prefix_secret=secret.prefix_secret,
        operators=trust.operators,
        policies=trust.policies,
    )


def _team_parts(teams: tuple[Team, ...]) -> list[_TeamsPart]:
    buckets: dict[int, list[Team]] = {}
    for team in _by_name(teams):
        buckets.setdefault(_bucket(team.name), []).append(team)
    parts: list[_TeamsPart] = []
    for bucket in sorted(buckets):
        parts.append(_TeamsPart(bucket, tuple(buckets[bucket])))
    return parts


def _bucket(team: str) -> int:
    return sha256(team.encode()).digest()[0] % TEAM_BUCKETS


def _by_name(named: tuple[_N, ...]) -> tuple[_N, ...]:
    return tuple(sorted(named, key=attrgetter('name')))


def _malformed(message: str) -> Refusal:
    return not_run(Reason.BUNDLE_INVALID, f'bundle: {message}')
