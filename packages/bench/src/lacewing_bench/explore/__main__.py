"""Explore both protocols and exit with 1 when an invariant breaks."""

import logging
import sys
import time

import fire
import structlog

from lacewing_bench.explore import explore_attempts
from lacewing_bench.explore import explore_claims
from lacewing_bench.explore import Findings

_DEPTH = 4
# A sequence of the attempts' table takes a twentieth of the time of one of
# the claims, which run on an event loop.
_ATTEMPTS_DEEPER = 3


def main(depth: int = _DEPTH) -> None:
    """Explore all sequences of ``depth`` steps."""
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    started_s = time.monotonic()
    claims = explore_claims(depth)
    _report('claims', claims, time.monotonic() - started_s)
    started_s = time.monotonic()
    attempts = explore_attempts(depth + _ATTEMPTS_DEEPER)
    _report('attempts', attempts, time.monotonic() - started_s)
    sys.exit(1 if claims.broken or attempts.broken else 0)


def _report(name: str, findings: Findings, took_s: float) -> None:
    print(
        f'{name}: depth {findings.depth}, {findings.sequences} sequences in'
        f' {took_s:.1f} s, {findings.broken} broke an invariant'
    )
    print(f'  steps: {_counts(dict(findings.steps))}')
    print(f'  reached: {_counts(dict(findings.reached))}')
    for breach in findings.breaches:
        print(breach)


def _counts(counted: dict[str, int]) -> str:
    return ', '.join(f'{name} {counted[name]}' for name in sorted(counted))


if __name__ == '__main__':
    fire.Fire(main)
