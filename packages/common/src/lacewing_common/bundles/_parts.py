"""Split a bundle into immutable parts and join them again.

The encoding is canonical: lists are sorted by name, and the bucket of a team
depends on its name alone. Editing one team therefore changes one part only,
and all processes compute the same digests.
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
from lacewing_common.decode_errors import DECODE_ERRORS
from lacewing_common.document import part_digest
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

TEAM_BUCKETS = 64


class _TaggedPart(
    msgspec.Struct, frozen=True, tag_field='part', forbid_unknown_fields=True
):
    """Identify the kind of a part by its tag."""


class TrustPart(_TaggedPart, tag='trust', frozen=True):
    """Hold the operators who may sign the next bundle, and the policies."""

    operators: tuple[Operator, ...]
    policies: Policies


class _SecretPart(_TaggedPart, tag='secret', frozen=True):
    prefix_secret: str


class _ModelsPart(_TaggedPart, tag='models', frozen=True):
    models: tuple[Model, ...]


class _ServicesPart(_TaggedPart, tag='services', frozen=True):
    services: tuple[Service, ...]


class TeamsPart(_TaggedPart, tag='teams', frozen=True):
    """Hold the teams of one bucket."""

    bucket: int
    teams: tuple[Team, ...]


_Named = TypeVar('_Named', Model, Operator, Service, Team)
Content = TrustPart | _SecretPart | _ModelsPart | _ServicesPart | TeamsPart
_DECODER: msgspec.json.Decoder[Content] = msgspec.json.Decoder(Content)
_ENCODER = msgspec.json.Encoder()
# Trust, secret, models and services come before the parts with teams.
_FIXED_PARTS = 4


class Contents(msgspec.Struct, frozen=True):
    """Hold the digests of a bundle's parts, starting with the trust part."""

    trust: str
    rest: tuple[str, ...]

    @property
    def digest(self) -> str:
        """Return the digest of the bundle."""
        return bundle_digest(self.trust, rest_digest(self.rest))


def rest_digest(digests: tuple[str, ...]) -> str:
    """Return the SHA-256 over the digests of all parts except trust."""
    return sha256('\n'.join(digests).encode()).hexdigest()


def bundle_digest(trust: str, rest: str) -> str:
    """Combine the trust digest and the rest digest of a bundle.

    Two separate digests allow a proof to contain the trust parts of earlier
    bundles without their other parts.
    """
    return sha256(f'bundle\n{trust}\n{rest}'.encode()).hexdigest()


def contents_of(digests: tuple[str, ...]) -> Contents | Refusal:
    """Return the part digests of a head as contents."""
    if len(digests) < _FIXED_PARTS:
        return _malformed(
            f'expected at least {_FIXED_PARTS} parts, got {len(digests)}'
        )
    return Contents(digests[0], digests[1:])


def contents_of_parts(parts: tuple[bytes, ...]) -> Contents:
    """Compute the digests of the parts that ``split`` returned."""
    digests = tuple(part_digest(part) for part in parts)
    return Contents(digests[0], digests[1:])


def split(bundle: Bundle) -> tuple[bytes, ...]:
    """Split a bundle into its parts, the trust part first."""
    contents: list[Content] = [
        TrustPart(_sorted_by_name(bundle.operators), bundle.policies),
        _SecretPart(bundle.prefix_secret),
        _ModelsPart(_sorted_by_name(bundle.models)),
        _ServicesPart(_sorted_by_name(bundle.services)),
        *_team_parts(bundle.teams),
    ]
    return tuple(_ENCODER.encode(content) for content in contents)


def join(parts: tuple[bytes, ...]) -> Bundle | Refusal:
    """Join parts that are exactly the bytes that ``split`` produces."""
    contents: list[Content] = []
    for part in parts:
        content = read_content(part)
        if isinstance(content, Refusal):
            return content
        contents.append(content)
    return join_contents(contents)


def read_content(part: bytes) -> Content | Refusal:
    """Decode a part that is exactly the bytes that ``split`` produces.

    Other encodings are refused: two encodings of one bundle would have
    different digests, and processes would disagree on what was signed.
    """
    try:
        content = _DECODER.decode(part)
    except DECODE_ERRORS as error:
        return _malformed(str(error))
    if _ENCODER.encode(_canonical_content(content)) != part:
        return _malformed('a part is not in its one order and encoding')
    return content


def join_contents(contents: list[Content]) -> Bundle | Refusal:
    """Join the decoded parts of a bundle, given in order."""
    if len(contents) < _FIXED_PARTS:
        return _malformed(f'expected {_FIXED_PARTS} parts or more')
    trust, secret, models, services = contents[:_FIXED_PARTS]
    if (
        not isinstance(trust, TrustPart)
        or not isinstance(secret, _SecretPart)
        or not isinstance(models, _ModelsPart)
        or not isinstance(services, _ServicesPart)
    ):
        return _malformed('expected trust, secret, models and services first')
    teams = _join_teams(contents[_FIXED_PARTS:])
    if isinstance(teams, Refusal):
        return teams
    return Bundle(
        teams=teams,
        services=services.services,
        models=models.models,
        prefix_secret=secret.prefix_secret,
        operators=trust.operators,
        policies=trust.policies,
    )


def read_trust(part: bytes) -> TrustPart | Refusal:
    """Decode a trust part."""
    try:
        return msgspec.json.decode(part, type=TrustPart)
    except DECODE_ERRORS as error:
        return _malformed(f'trust part: {error}')


def canonical(bundle: Bundle) -> Bundle:
    """Return the bundle with its lists in the order that ``join`` returns."""
    joined = join(split(bundle))
    if isinstance(joined, Refusal):
        raise ValueError(joined.message)
    return joined


def _join_teams(contents: list[Content]) -> tuple[Team, ...] | Refusal:
    teams: list[Team] = []
    last_bucket = -1
    for content in contents:
        if not isinstance(content, TeamsPart) or not content.teams:
            return _malformed('expected parts with teams at the end')
        if content.bucket <= last_bucket:
            return _malformed('the buckets of the teams are not in order')
        last_bucket = content.bucket
        teams.extend(content.teams)
    return _sorted_by_name(tuple(teams))


def _canonical_content(content: Content) -> Content:
    """Return the content in the order that ``split`` produces."""
    if isinstance(content, TrustPart):
        return TrustPart(_sorted_by_name(content.operators), content.policies)
    if isinstance(content, _ModelsPart):
        return _ModelsPart(_sorted_by_name(content.models))
    if isinstance(content, _ServicesPart):
        return _ServicesPart(_sorted_by_name(content.services))
    if isinstance(content, TeamsPart):
        return _canonical_teams(content)
    return content


def _canonical_teams(content: TeamsPart) -> TeamsPart:
    """Drop teams of other buckets, so that the encoded bytes differ."""
    bucket_teams: list[Team] = []
    for team in _sorted_by_name(content.teams):
        if _bucket(team.name) == content.bucket:
            bucket_teams.append(team)
    return TeamsPart(content.bucket, tuple(bucket_teams))


def _team_parts(teams: tuple[Team, ...]) -> list[TeamsPart]:
    buckets: dict[int, list[Team]] = {}
    for team in _sorted_by_name(teams):
        buckets.setdefault(_bucket(team.name), []).append(team)
    parts: list[TeamsPart] = []
    for bucket in sorted(buckets):
        parts.append(TeamsPart(bucket, tuple(buckets[bucket])))
    return parts


def _bucket(team: str) -> int:
    return sha256(team.encode()).digest()[0] % TEAM_BUCKETS


def _sorted_by_name(named: tuple[_Named, ...]) -> tuple[_Named, ...]:
    return tuple(sorted(named, key=attrgetter('name')))


def _malformed(message: str) -> Refusal:
    return not_run(Reason.BUNDLE_INVALID, f'bundle: {message}')
