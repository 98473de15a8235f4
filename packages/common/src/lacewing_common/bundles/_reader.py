"""Decode successive bundles, processing only the changed parts."""

from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Team
from lacewing_common.bundles._check import check_bundle
from lacewing_common.bundles._check import check_rest
from lacewing_common.bundles._check import check_teams
from lacewing_common.bundles._parts import Content
from lacewing_common.bundles._parts import join_contents
from lacewing_common.bundles._parts import read_content
from lacewing_common.bundles._parts import TeamsPart
from lacewing_common.document import Document
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal


class BundleReader:
    """Decode and validate bundles; cache the parts of the last one.

    A roll usually changes one of many parts. Decoding and validating all teams
    on each roll would block the event loop, and with it every stream of the
    process, for tens of milliseconds.
    """

    def __init__(self) -> None:
        self._contents: dict[str, Content] = {}
        self._valid_digests: set[str] = set()
        self._services: frozenset[str] = frozenset()

    def read(self, document: Document) -> Bundle | Refusal:
        """Return the fully validated bundle of a document.

        The caller must have verified the digests of the parts.
        """
        digests = document.head.parts
        contents: list[Content] = []
        for digest, part in zip(digests, document.parts, strict=True):
            content = self._contents.get(digest) or read_content(part)
            if isinstance(content, Refusal):
                return content
            contents.append(content)
        bundle = join_contents(contents)
        if isinstance(bundle, Refusal):
            return bundle
        services = frozenset(service.name for service in bundle.services)
        valid_digests = (
            self._valid_digests if services == self._services else set()
        )
        if not _is_valid(bundle, digests, contents, valid_digests, services):
            # The path of a problem is only known for the whole bundle.
            for problem in check_bundle(bundle):
                return not_run(Reason.BUNDLE_INVALID, f'bundle: {problem}')
        self._contents = dict(zip(digests, contents, strict=True))
        self._valid_digests = set(digests)
        self._services = services
        return bundle


def _is_valid(
    bundle: Bundle,
    digests: tuple[str, ...],
    contents: list[Content],
    valid_digests: set[str],
    services: frozenset[str],
) -> bool:
    """Check the new parts, and for team keys shared across parts."""
    for digest, content in zip(digests, contents, strict=True):
        if digest in valid_digests or not isinstance(content, TeamsPart):
            continue
        if check_teams(content.teams, services):
            return False
    if _has_shared_key(bundle.teams):
        return False
    return not check_rest(bundle)


def _has_shared_key(teams: tuple[Team, ...]) -> bool:
    owners: dict[str, str] = {}
    for team in teams:
        for key_hash in team.key_hashes:
            if owners.setdefault(key_hash, team.name) != team.name:
                return True
    return False
