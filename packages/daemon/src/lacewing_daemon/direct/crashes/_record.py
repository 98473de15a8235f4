"""Describe a crash of an upstream as routers tell it to each other."""

import msgspec
import xxhash

_encode = msgspec.msgpack.encode


class UpstreamIncarnation(msgspec.Struct, frozen=True):
    """Name one start of an upstream; it crashes once at most.

    ``again`` counts starts after it that nobody could read in the store.
    """

    upstream_id: str
    started_ms: int
    again: int = 0


class Suspect(msgspec.Struct, frozen=True):
    """Hold a request that a crash broke off; ``begun``: after an event."""

    fingerprint: str
    begun: bool


class CrashRecord(msgspec.Struct, frozen=True):
    """Hold what ran at an upstream when it crashed, as far as known.

    ``cleared`` are the fingerprints of requests that did not cause it;
    ``gone``: nobody listened at its address any more.
    """

    start: UpstreamIncarnation
    suspects: tuple[Suspect, ...] = ()
    cleared: tuple[str, ...] = ()
    gone: bool = False


def record_digest(record: CrashRecord) -> int:
    """Return a digest by which two routers see that both hold a record."""
    return xxhash.xxh3_64_intdigest(_encode(record))
