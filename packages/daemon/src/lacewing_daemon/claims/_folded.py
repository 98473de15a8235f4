"""Keep what ran long ago in a few bytes each."""

import sys
from array import array
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

import msgspec

from lacewing_daemon.claims._record import Claim

_KEY_BYTES = 8
_UINT64 = 'Q'
_UINT32 = 'I'


class FoldedBytes(msgspec.Struct, frozen=True, array_like=True):
    """Hold folded claims as they stand in the platform, little-endian.

    ``keys`` are the first 8 bytes of each claim's key, sorted; ``times``,
    4 bytes each, belong to them in order.
    """

    keys: bytes = b''
    times: bytes = b''


@dataclass(frozen=True)
class Folded:
    """Hold the keys of calls that ran; method, path and answer are gone.

    A claim that ran an hour ago takes 12 bytes here and 92 as a record. One
    more claim in 10**14 meets a key with the same first 8 bytes; its call
    is refused as one that ran, and never run twice.
    """

    keys: 'array[int]' = field(default_factory=lambda: array(_UINT64))
    times: 'array[int]' = field(default_factory=lambda: array(_UINT32))

    def __len__(self) -> int:
        return len(self.keys)

    def holds(self, key: bytes, oldest: int) -> bool:
        """Tell whether a call ran under a key since a time."""
        wanted = _short(key)
        place = bisect_left(self.keys, wanted)
        if place == len(self.keys) or self.keys[place] != wanted:
            return False
        return self.times[place] >= oldest

    def joined(self, claims: Iterable[Claim], oldest: int) -> 'Folded':
        """Return these without the expired ones, and more."""
        times = dict(zip(self.keys, self.times, strict=True))
        for claim in claims:
            times[_short(claim.key)] = claim.at
        kept = sorted(one for one in times.items() if one[1] >= oldest)
        return Folded(
            array(_UINT64, [one[0] for one in kept]),
            array(_UINT32, [one[1] for one in kept]),
        )

    def to_bytes(self) -> FoldedBytes:
        """Encode for the platform."""
        return FoldedBytes(_little(self.keys), _little(self.times))


def folded_from(stored: FoldedBytes) -> Folded | None:
    """Decode; None when the parts do not fit each other."""
    keys, times = array(_UINT64), array(_UINT32)
    try:
        keys.frombytes(stored.keys)
        times.frombytes(stored.times)
    except ValueError:
        return None
    if len(keys) != len(times):
        return None
    if sys.byteorder == 'big':
        keys.byteswap()
        times.byteswap()
    return Folded(keys, times)


def _short(key: bytes) -> int:
    return int.from_bytes(key[:_KEY_BYTES], 'big')


def _little(numbers: 'array[int]') -> bytes:
    if sys.byteorder == 'big':
        numbers = numbers[:]
        numbers.byteswap()
    return numbers.tobytes()
