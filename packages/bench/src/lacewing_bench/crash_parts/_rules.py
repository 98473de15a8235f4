"""Define the ways to name the part that crashes upstreams."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from itertools import chain
from math import log

from lacewing_daemon.direct.crashes._attribution import attribute_to_fewest
from lacewing_daemon.direct.crashes._attribution import Attribution
from lacewing_daemon.direct.crashes._attribution import Causes
from lacewing_daemon.direct.crashes._attribution import Evidence
from lacewing_daemon.direct.crashes._moments import count_as_one
from lacewing_daemon.direct.crashes._moments import count_moments_once
from lacewing_daemon.direct.crashes._moments import find_moments
from lacewing_daemon.direct.crashes._moments import MomentRule
from lacewing_daemon.direct.crashes._moments import runs_at_moments
from lacewing_daemon.direct.crashes._moments import Times
from lacewing_daemon.direct.crashes._moments import unexplained_moments

# Odds at which a part is held to be the cause, as a logarithm.
_ENOUGH = log(1000.0)
# A part of all interrupted runs may still be the cause.
_MAX_SHARE = 0.9


def attribute_to_requests(
    evidence: Mapping[str, Evidence], to_block: int
) -> Causes:
    """Attribute crashes to requests only."""
    requests = {}
    for subject, found in evidence.items():
        if not found.is_part:
            requests[subject] = found
    return attribute_to_fewest(requests, to_block)


def _request_count(evidence: Evidence) -> int:
    return len({request for _, request in evidence.runs})


def count_parts(evidence: Mapping[str, Evidence], to_block: int) -> Causes:
    """Block each part under which enough upstreams have crashed."""
    blocked = set(attribute_to_requests(evidence, to_block).blocked)
    for subject, found in evidence.items():
        if found.is_part and _request_count(found) > 1:
            if len(found.incarnations) >= to_block:
                blocked.add(subject)
    return Causes(frozenset(blocked), frozenset(blocked))


def weigh_parts(evidence: Mapping[str, Evidence], to_block: int) -> Causes:
    """Block the parts that are likelier the cause than there by chance.

    The chance is the share of the interrupted runs that have the part; each
    crash that it was at without an event counts by it.
    """
    blocked = set(attribute_to_requests(evidence, to_block).blocked)
    run_count = 0
    for found in evidence.values():
        if not found.is_part:
            run_count += len(found.runs)
    for subject, found in evidence.items():
        if not found.is_part or _request_count(found) < 2:
            continue
        share = len(found.runs) / max(run_count, len(found.runs) + 1)
        before_event = {
            incarnation
            for (incarnation, _), begun in found.runs.items()
            if not begun
        }
        crashes = len(before_event)
        odds = crashes * -log(min(_MAX_SHARE, share))
        enough = _ENOUGH * 2 if found.proven else _ENOUGH
        if odds >= enough or (crashes >= to_block + 1 and not found.proven):
            blocked.add(subject)
    return Causes(frozenset(blocked), frozenset(blocked))


def wait_for_third(evidence: Mapping[str, Evidence], to_block: int) -> Causes:
    """Attribute crashes to the fewest, to no part before the third one."""
    known = {}
    for subject, found in evidence.items():
        if not found.is_part or len(found.incarnations) >= to_block:
            known[subject] = found
    return attribute_to_fewest(known, to_block)


def count_each(
    evidence: Mapping[str, Evidence], times_ms: Times
) -> Mapping[str, Evidence]:
    """Count each crash, whenever it happened."""
    return evidence


def count_windows(
    evidence: Mapping[str, Evidence], times_ms: Times, window_ms: int
) -> Mapping[str, Evidence]:
    """Count all crashes within a window as one, whatever ran there."""
    moments = find_moments(times_ms, window_ms, min_crashes=2)
    counted = {}
    for subject, found in evidence.items():
        counted[subject] = count_as_one(found, moments)
    return counted


def count_none(
    evidence: Mapping[str, Evidence], times_ms: Times
) -> Mapping[str, Evidence]:
    """Leave out the moments that a subject does not explain."""
    moments = find_moments(times_ms)
    at_moments = runs_at_moments(evidence, moments)
    counted = {}
    for subject, found in evidence.items():
        left_out = frozenset(
            chain.from_iterable(
                unexplained_moments(found, moments, at_moments[subject])
            )
        )
        runs = {}
        for run, begun in found.runs.items():
            if run[0] not in left_out:
                runs[run] = begun
        counted[subject] = replace(found, runs=runs)
    return counted


@dataclass(frozen=True)
class Rule:
    """Hold a way to attribute crashes and how suspects are placed.

    ``isolates``: requests with suspected parts go to few upstreams, others
    to the rest. ``uses_proof``: routers report which parts were in prompts
    that had completed. ``count_moments`` counts crashes at one moment.
    """

    name: str
    attribute: Attribution
    isolates: bool = True
    uses_proof: bool = True
    count_moments: MomentRule = count_moments_once


REQUESTS = Rule('requests only', attribute_to_requests, False, False)
COUNTS = Rule('counts of parts', count_parts)
LIKELIHOOD = Rule('likelihood', weigh_parts)
UNPROVEN = Rule('fewest, no proof', attribute_to_fewest, True, False)
SPREAD = Rule('fewest, spread', attribute_to_fewest, False)
USED = Rule('fewest (in use)', attribute_to_fewest)
THIRD = Rule('fewest, three', wait_for_third)
RULES = (REQUESTS, COUNTS, LIKELIHOOD, UNPROVEN, SPREAD, THIRD, USED)

# Ways to count crashes at one moment.
EACH = Rule('each crash', attribute_to_fewest, count_moments=count_each)
WINDOW = Rule(
    'all within 0.15 s',
    attribute_to_fewest,
    count_moments=partial(count_windows, window_ms=150),
)
LONG_WINDOW = Rule(
    'all within 0.5 s',
    attribute_to_fewest,
    count_moments=partial(count_windows, window_ms=500),
)
NONE = Rule('unexplained: none', attribute_to_fewest, count_moments=count_none)
ONCE = Rule('unexplained: one (in use)', attribute_to_fewest)
MOMENT_RULES = (EACH, WINDOW, LONG_WINDOW, NONE, ONCE)
