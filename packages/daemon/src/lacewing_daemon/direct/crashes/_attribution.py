"""Attribute crashes to the fewest subjects that explain them.

A subject is a request, or a part that prompts share. Pure functions on
evidence: no clock, no input or output.
"""

from collections import Counter
from collections.abc import Mapping
from collections.abc import Set
from dataclasses import dataclass
from itertools import chain
from typing import Protocol

from lacewing_daemon.direct.crashes._record import UpstreamIncarnation

# A part is a cause only if this many different requests with it were
# interrupted. The crashes of one request are attributed to that request.
MIN_REQUESTS_OF_PART = 2
# A part whose prompts had completed shortly before a crash is likely harmless,
# so that more crashes are needed.
EXTRA_CRASHES_IF_PROVEN = 1

Run = tuple[UpstreamIncarnation, str]


@dataclass(frozen=True)
class Evidence:
    """Hold the interrupted runs of one subject.

    ``runs`` maps the incarnation and the request of each run to whether the
    run had returned an event. ``proven``: prompts with the part had completed
    shortly before.
    """

    runs: Mapping[Run, bool]
    is_part: bool = False
    proven: bool = False

    @property
    def incarnations(self) -> frozenset[UpstreamIncarnation]:
        """Return the incarnations that crashed under the subject."""
        return frozenset(incarnation for incarnation, _ in self.runs)

    @property
    def request_count(self) -> int:
        """Return the number of different requests."""
        return len({request for _, request in self.runs})

    def count_without_event(
        self, incarnations: Set[UpstreamIncarnation]
    ) -> int:
        """Count the incarnations at which a run had returned no event."""
        found = set()
        for (incarnation, _), begun in self.runs.items():
            if not begun and incarnation in incarnations:
                found.add(incarnation)
        return len(found)


@dataclass(frozen=True)
class Causes:
    """Name the subjects that are blocked.

    ``ambiguous``: those of them that other subjects may explain as well.
    """

    blocked: frozenset[str]
    ambiguous: frozenset[str]


class Attribution(Protocol):
    """Name the subjects that caused crashes."""

    def __call__(
        self, evidence: Mapping[str, Evidence], to_block: int
    ) -> Causes:
        """Return the causes; ``to_block`` crashes are enough for one."""


def attribute_to_fewest(
    evidence: Mapping[str, Evidence], to_block: int
) -> Causes:
    """Attribute crashes to subjects, to the one with the most first.

    All crashes under a cause count against it and no other subject, since
    harmless requests and parts run beside it. Proven parts are causes of
    what nothing else explains.
    """
    explained: set[UpstreamIncarnation] = set()
    causes = Causes(frozenset(), frozenset())
    for proven in (False, True):
        candidates = {}
        for subject, found in evidence.items():
            if found.proven is proven and _is_candidate(found):
                candidates[subject] = found
        causes = _attribute(candidates, explained, causes, to_block)
    return causes


def _attribute(
    candidates: Mapping[str, Evidence],
    explained: set[UpstreamIncarnation],
    causes: Causes,
    to_block: int,
) -> Causes:
    """Add the causes of crashes that are not ``explained`` yet, and do so.

    One crash less than ``to_block`` is enough for a cause that is alone with
    its crashes and whose runs had returned no event at any of them.
    """
    blocked = set(causes.blocked)
    ambiguous = set(causes.ambiguous)
    unexplained: dict[str, frozenset[UpstreamIncarnation]] = {}
    while True:
        weights = {}
        for subject, evidence in candidates.items():
            unexplained[subject] = evidence.incarnations - explained
            if len(unexplained[subject]) >= _min_crashes(evidence, to_block):
                weights[subject] = _weight(evidence, unexplained[subject])
        if not weights:
            break
        max_weight = max(weights.values())
        found = {}
        for subject, weight in weights.items():
            if weight == max_weight:
                found[subject] = unexplained[subject]
        if max_weight[0] < to_block:
            found = _uncontested(candidates, found)
            if not found or max_weight[1] < max_weight[0]:
                break
        ambiguous |= _ambiguous_among(candidates, found, to_block)
        blocked.update(found)
        explained.update(chain.from_iterable(found.values()))
    return Causes(frozenset(blocked), frozenset(ambiguous))


def _is_candidate(evidence: Evidence) -> bool:
    return (
        not evidence.is_part or evidence.request_count >= MIN_REQUESTS_OF_PART
    )


def _min_crashes(evidence: Evidence, to_block: int) -> int:
    if evidence.proven:
        return to_block + EXTRA_CRASHES_IF_PROVEN
    return to_block - 1


_Weight = tuple[int, int, bool]


def _weight(
    evidence: Evidence, incarnations: frozenset[UpstreamIncarnation]
) -> _Weight:
    """Return the crashes, and how many came before an event.

    A cause crashes its upstream as soon as it runs; one that has already
    returned events is less likely the cause. Of a request and a part with
    the same crashes the request is blocked, which affects fewer callers.
    """
    return (
        len(incarnations),
        evidence.count_without_event(incarnations),
        not evidence.is_part,
    )


def _uncontested(
    evidence: Mapping[str, Evidence],
    causes: Mapping[str, frozenset[UpstreamIncarnation]],
) -> dict[str, frozenset[UpstreamIncarnation]]:
    """Return the causes whose crashes no other one explains as well.

    Those with the same runs throughout can't be distinguished and are one.
    """
    groups: dict[UpstreamIncarnation, set[frozenset[Run]]] = {}
    for subject, incarnations in causes.items():
        for incarnation in incarnations:
            group = frozenset(evidence[subject].runs)
            groups.setdefault(incarnation, set()).add(group)
    uncontested = {}
    for subject, incarnations in causes.items():
        if all(len(groups[incarnation]) == 1 for incarnation in incarnations):
            uncontested[subject] = incarnations
    return uncontested


def _ambiguous_among(
    evidence: Mapping[str, Evidence],
    causes: Mapping[str, frozenset[UpstreamIncarnation]],
    to_block: int,
) -> set[str]:
    """Return the causes that share too many crashes, or that are proven."""
    counts = Counter(chain.from_iterable(causes.values()))
    ambiguous = set()
    for subject, incarnations in causes.items():
        unshared = sum(
            counts[incarnation] == 1 for incarnation in incarnations
        )
        required = min(len(incarnations), to_block - 1)
        if unshared < required or evidence[subject].proven:
            ambiguous.add(subject)
    return ambiguous
