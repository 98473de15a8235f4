"""Hold what is known of one crash."""

from dataclasses import dataclass
from dataclasses import field

from lacewing_daemon.direct.crashes._record import CrashRecord
from lacewing_daemon.direct.crashes._record import Suspect
from lacewing_daemon.direct.crashes._record import UpstreamIncarnation


@dataclass
class CrashState:
    """Hold what ran at an upstream that crashed.

    ``received_s`` is when the crash was first reported. ``suspects`` maps
    each request to what ran of it. ``gone`` is set if the connection probe
    after the crash was refused. ``crashed_ms`` is the earliest time that a
    router reported, so that it does not depend on the order of the reports; 0
    if none did. ``digested`` caches the record and its
    digest; None if outdated.
    """

    received_s: float
    suspects: dict[str, Suspect] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)
    proven: set[str] = field(default_factory=set)
    gone: bool = False
    crashed_ms: int = 0
    digested: tuple[int, CrashRecord] | None = None


def merge_suspects(known: Suspect | None, suspect: Suspect) -> Suspect:
    """Return what ran of a request that may have run twice.

    The run without an event counts.
    """
    parts = set(suspect.parts)
    begun = suspect.begun
    if known is not None:
        parts.update(known.parts)
        begun = begun and known.begun
    return Suspect(suspect.fingerprint, begun, tuple(sorted(parts)))


def make_record(
    incarnation: UpstreamIncarnation, crash: CrashState
) -> CrashRecord:
    suspects = []
    for fingerprint in sorted(crash.suspects):
        suspect = crash.suspects[fingerprint]
        parts = tuple(sorted(set(suspect.parts) - crash.cleared))
        suspects.append(Suspect(fingerprint, suspect.begun, parts))
    cleared = tuple(sorted(crash.cleared))
    proven = tuple(sorted(crash.proven - crash.cleared))
    return CrashRecord(
        incarnation,
        tuple(suspects),
        cleared,
        crash.gone,
        proven,
        crash.crashed_ms,
    )
