"""Attribute crashes to the fewest subjects that explain them.

A subject is a request, or a part that prompts share. Pure functions on
evidence: no clock, no input or output.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import chain
from typing import Protocol

from lacewing_daemon.direct.crashes._record import UpstreamIncarnation

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
    blocked: set[str] = set()
    ambiguous: set[str] = set()
    for proven in (False, True):
        candidates = []
        for subject, found in evidence.items():
            if found.proven is proven:
                candidates.append(_Candidate(subject, found))
        while True:
            causes = _next_causes(candidates, explained, to_block)
            if not causes:
                break
            ambiguous |= _ambiguous_among(causes, to_block)
            for cause in causes:
                blocked.add(cause.subject)
                explained |= cause.unexplained
                candidates.remove(cause)
    return Causes(frozenset(blocked), frozenset(ambiguous))


class _Candidate:
    """Hold the crashes of a subject that no cause explains yet."""

    def __init__(self, subject: str, evidence: Evidence) -> None:
        self.subject = subject
        self.evidence = evidence
        self.unexplained = set(evidence.incarnations)
        self.without_event = set()
        for (incarnation, _), begun in evidence.runs.items():
            if not begun:
                self.without_event.add(incarnation)

    @property
    def weight(self) -> tuple[int, int, bool]:
        """Return the crashes, how many came before an event, and ties.

        A cause crashes its upstream as soon as it runs; one that has already
        returned events is less likely the cause. Of a request and a part with
        the same crashes the request is blocked, which affects fewer callers;
        so a part is a cause only once different requests have crashed.
        """
        return (
            len(self.unexplained),
            len(self.unexplained & self.without_event),
            not self.evidence.is_part,
        )


def _next_causes(
    candidates: list[_Candidate],
    explained: set[UpstreamIncarnation],
    to_block: int,
) -> list[_Candidate]:
    """Return the causes of most crashes that are not explained yet.

    One crash less than ``to_block`` is enough for a cause that is alone with
    its crashes and whose runs had returned no event at any of them.
    """
    best: list[_Candidate] = []
    best_weight = (0, 0, False)
    for candidate in candidates:
        candidate.unexplained -= explained
        min_crashes = to_block - 1
        if candidate.evidence.proven:
            min_crashes = to_block + EXTRA_CRASHES_IF_PROVEN
        if len(candidate.unexplained) < min_crashes:
            continue
        weight = candidate.weight
        if weight > best_weight:
            best = []
            best_weight = weight
        if weight == best_weight:
            best.append(candidate)
    crashes, without_event, _ = best_weight
    if crashes >= to_block:
        return best
    return _uncontested(best) if without_event == crashes else []


def _uncontested(causes: list[_Candidate]) -> list[_Candidate]:
    """Return the causes whose crashes no other one explains as well.

    Those with the same runs throughout can't be distinguished and are one.
    """
    groups: dict[UpstreamIncarnation, set[frozenset[Run]]] = {}
    for cause in causes:
        group = frozenset(cause.evidence.runs)
        for incarnation in cause.unexplained:
            groups.setdefault(incarnation, set()).add(group)
    uncontested = []
    for cause in causes:
        if all(len(groups[one]) == 1 for one in cause.unexplained):
            uncontested.append(cause)
    return uncontested


def _ambiguous_among(causes: list[_Candidate], to_block: int) -> set[str]:
    """Return the causes that share too many crashes, or that are proven."""
    counts = Counter(chain.from_iterable(one.unexplained for one in causes))
    ambiguous = set()
    for cause in causes:
        unshared = sum(
            counts[incarnation] == 1 for incarnation in cause.unexplained
        )
        required = min(len(cause.unexplained), to_block - 1)
        if unshared < required or cause.evidence.proven:
            ambiguous.add(cause.subject)
    return ambiguous
