"""Measure how a range's object size, memory and CPU time grow with claims."""

import secrets
import time
import tracemalloc
from collections.abc import Callable
from collections.abc import Sized

import msgspec
from lacewing_common.store import StoredObject
from lacewing_daemon.claims._document import Book
from lacewing_daemon.claims._document import encode_claims
from lacewing_daemon.claims._document import read_book
from lacewing_daemon.claims._draft import Drafter
from lacewing_daemon.claims._folded import Folded
from lacewing_daemon.claims._limits import ClaimLimits
from lacewing_daemon.claims._record import Claim
from lacewing_daemon.claims._record import ClaimState
from lacewing_daemon.claims._record import Outcome

_DIGEST_BYTES = 16
_OWNER = 2**62
_NOW = 1_800_000_000
_SMALL_COUNT = 1000
_LARGE_COUNT = 5000
_ROUNDS = 20
_US_PER_S = 1_000_000
_NO_FOLDED = Folded()


class Slopes(msgspec.Struct, frozen=True):
    """Report the growth per claim that ran.

    ``record``: in its first hour; ``folded``: later. ``draft_us``: CPU time
    to draft and encode a version, per record in it. ``full_at_per_s``: the
    steady rate of calls at which the ranges of one service are full by the
    end of the retention, without counting the stored answers.
    """

    record_bytes: float
    folded_bytes: float
    record_memory_bytes: float
    folded_memory_bytes: float
    draft_us: float
    folded_draft_us: float
    fold_us: float
    read_us: float
    full_at_per_s: float


def measure_slopes(ranges: int) -> Slopes:
    """Measure the difference between a small and a large set of claims."""
    limits = ClaimLimits()
    few, many = _claims(_SMALL_COUNT), _claims(_LARGE_COUNT)
    record = _slope(_size(few, _NO_FOLDED), _size(many, _NO_FOLDED))
    small_folded, large_folded = _folded(few), _folded(many)
    folded = _slope(_size({}, small_folded), _size({}, large_folded))
    old_s = limits.retention_s - limits.fold_after_s
    bytes_at_one_per_s = limits.fold_after_s * record + old_s * folded
    return Slopes(
        record,
        folded,
        _memory_bytes(lambda: _claims(_SMALL_COUNT)),
        _memory_bytes(lambda: _folded(few)),
        _slope(_draft_s(few, _NO_FOLDED), _draft_s(many, _NO_FOLDED))
        * _US_PER_S,
        _slope(_draft_s({}, small_folded), _draft_s({}, large_folded))
        * _US_PER_S,
        _slope(_cpu_s(lambda: _folded(few)), _cpu_s(lambda: _folded(many)))
        * _US_PER_S,
        _slope(_read_s(few), _read_s(many)) * _US_PER_S,
        limits.object_bytes / bytes_at_one_per_s * ranges,
    )


def _slope(at_small: float, at_large: float) -> float:
    return (at_large - at_small) / (_LARGE_COUNT - _SMALL_COUNT)


def _size(claims: dict[bytes, Claim], folded: Folded) -> int:
    return len(encode_claims(claims, folded, 0))


def _folded(claims: dict[bytes, Claim]) -> Folded:
    return Folded().joined(claims.values(), 0)


def _cpu_s(work: Callable[[], object]) -> float:
    started_s = time.process_time()
    for _ in range(_ROUNDS):
        work()
    return (time.process_time() - started_s) / _ROUNDS


def _claims(count: int) -> dict[bytes, Claim]:
    claims: dict[bytes, Claim] = {}
    for _ in range(count):
        key = secrets.token_bytes(_DIGEST_BYTES)
        digest = secrets.token_bytes(_DIGEST_BYTES)
        claims[key] = Claim(
            key,
            secrets.token_bytes(_DIGEST_BYTES),
            _OWNER,
            '',
            _NOW,
            ClaimState.RAN,
            Outcome(200, 'application/json', digest, None),
        )
    return claims


def _memory_bytes(make: Callable[[], Sized]) -> float:
    tracemalloc.start()
    traced = make()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / len(traced)


def _draft_s(claims: dict[bytes, Claim], folded: Folded) -> float:
    drafter = Drafter(_OWNER, ClaimLimits())
    book = Book(1, claims, folded)
    return _cpu_s(lambda: drafter.draft(book, True, (), (), _NOW))


def _read_s(claims: dict[bytes, Claim]) -> float:
    value = encode_claims(claims, _NO_FOLDED, 0)
    stored = StoredObject('claims', 'x', 1, value)
    return _cpu_s(lambda: read_book(stored))
