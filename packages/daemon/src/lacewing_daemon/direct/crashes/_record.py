"""Define the record of an upstream crash that routers exchange."""

import msgspec
import xxhash
from lacewing_common.whole_number import WholeNumber

_encode = msgspec.msgpack.encode


class UpstreamIncarnation(msgspec.Struct, frozen=True):
    """Identify one incarnation of an upstream, which crashes at most once.

    ``again`` counts later restarts that are not known from the store.
    """

    upstream_id: str
    started_ms: WholeNumber
    again: WholeNumber = 0


class Suspect(msgspec.Struct, frozen=True):
    """Hold a request that a crash interrupted.

    ``begun`` is set if the request had returned an event. ``parts`` has the
    fingerprints of the parts of its prompt that others may share.
    """

    fingerprint: str
    begun: bool
    parts: tuple[str, ...] = ()


class CrashRecord(msgspec.Struct, frozen=True):
    """Hold what is known of the requests that ran at a crashed upstream.

    ``cleared`` holds the fingerprints of requests and parts that did not
    cause the crash, ``proven`` those of parts whose prompts had completed
    shortly before it. ``gone`` is set if the connection probe after it was
    refused. ``crashed_ms`` is the Unix time in ms at which its first run
    broke, by the clock of a router with a run there; 0 in records of routers
    that do not report it.
    """

    start: UpstreamIncarnation
    suspects: tuple[Suspect, ...] = ()
    cleared: tuple[str, ...] = ()
    gone: bool = False
    proven: tuple[str, ...] = ()
    crashed_ms: WholeNumber = 0


def record_digest(record: CrashRecord) -> int:
    """Return a digest by which routers compare their records."""
    return xxhash.xxh3_64_intdigest(_encode(record))
