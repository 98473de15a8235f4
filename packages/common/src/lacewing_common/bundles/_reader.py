"""Read bundles that follow each other, looking only at what changed."""

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
    """Decode and check bundles; keep the parts of the last one.

    A roll mostly changes one part of many. Decoding and checking all teams at
    each would hold the event loop, and with it every stream of the process,
    for tens of milliseconds.
    """

    def __init__(self) -> None:
        self._contents: dict[str, Content] = {}
        self._clean: set[str] = set()
        self._services: frozenset[str] = frozenset()

    def read(self, document: Document) -> Bundle | Refusal:
        """Return the bundle of a document, checked in full.

        The digests of the parts must have been compared before.
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
        clean = self._clean if services == self._services else set()
        if not _is_clean(bundle, digests, contents, clean, services):
            # The part alone does not tell the path; the whole bundle does.
            for problem in check_bundle(bundle):
                return not_run(Reason.BUNDLE_INVALID, f'bundle: {problem}')
        self._contents = dict(zip(digests, contents, strict=True))
        self._clean = set(digests)
        self._services = services
        return bundle


def _is_clean(
    bundle: Bundle,
    digests: tuple[str, ...],
    contents: list[Content],
    clean: set[str],
    services: frozenset[str],
) -> bool:
    """Check what is new, and what teams of several parts may share."""
    for digest, content in zip(digests, contents, strict=True):
        if digest in clean or not isinstance(content, TeamsPart):
            continue
        if check_teams(content.teams, services):
            return False
    if _share_a_key(bundle.teams):
        return False
    return not check_rest(bundle)


def _share_a_key(teams: tuple[Team, ...]) -> bool:
    owners: dict[str, str] = {}
    for team in teams:
        for key_hash in team.key_hashes:
            if owners.setdefault(key_hash, team.name) != team.name:
                return True
    return False
