"""Measure how a range's object, its memory and its CPU grow with claims."""

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
_FEW = 1000
_MANY = 5000
_ROUNDS = 20
_US = 1_000_000
_NONE = Folded()


class Slopes(msgspec.Struct, frozen=True):
    """Report growth for each claim that ran.

    ``record``: in its first hour; ``folded``: later. ``draft_us``: CPU to
    draft and encode a version, for each record in it. ``full_at_per_s``:
    the steady calls a second at which one service's ranges are full by the
    end of the retention, answers not counted.
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


def slopes(ranges: int) -> Slopes:
    """Measure by the difference of few and many claims."""
    limits = ClaimLimits()
    few, many = _claims(_FEW), _claims(_MANY)
    record = _slope(_size(few, _NONE), _size(many, _NONE))
    some, more = _folded(few), _folded(many)
    folded = _slope(_size({}, some), _size({}, more))
    old_s = limits.retention_s - limits.fold_after_s
    of_one_per_s = limits.fold_after_s * record + old_s * folded
    return Slopes(
        record,
        folded,
        _memory_bytes(lambda: _claims(_FEW)),
        _memory_bytes(lambda: _folded(few)),
        _slope(_draft_s(few, _NONE), _draft_s(many, _NONE)) * _US,
        _slope(_draft_s({}, some), _draft_s({}, more)) * _US,
        _slope(_cpu_s(lambda: _folded(few)), _cpu_s(lambda: _folded(many)))
        * _US,
        _slope(_read_s(few), _read_s(many)) * _US,
        limits.object_bytes / of_one_per_s * ranges,
    )


def _slope(at_few: float, at_many: float) -> float:
    return (at_many - at_few) / (_MANY - _FEW)


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
    kept = make()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / len(kept)


def _draft_s(claims: dict[bytes, Claim], folded: Folded) -> float:
    drafter = Drafter(_OWNER, ClaimLimits())
    book = Book(1, claims, folded)
    return _cpu_s(lambda: drafter.draft(book, True, (), (), _NOW))


def _read_s(claims: dict[bytes, Claim]) -> float:
    value = encode_claims(claims, _NONE, 0)
    stored = StoredObject('claims', 'x', 1, value)
    return _cpu_s(lambda: read_book(stored))
