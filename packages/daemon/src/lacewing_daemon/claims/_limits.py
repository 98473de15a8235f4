"""Bound the claims in time, size and rate."""

from dataclasses import dataclass

_HOUR_S = 3600


@dataclass(frozen=True)
class ClaimLimits:
    """Hold the bounds; times in seconds, sizes in bytes.

    ``retention_s``: a claim is kept at least so long. ``pace_s``: time for
    each write of a range in the long run; ``burst``: so many may come at once
    after a rest. ``linger_s``: how long an outcome waits
    for a claim to be written with. ``wait_s``: longest wait for a claim.
    ``resolve_s``: how long a lost answer is looked into. ``object_bytes``:
    no new claim makes an object larger. ``body_bytes``: longest answer kept;
    ``bodies_bytes``: bound of all answers kept in one object.
    ``fold_after_s``: from then on only the key of a call that ran is kept;
    ``fold_at_once``: how many are folded together.
    """

    retention_s: int = 24 * _HOUR_S
    pace_s: float = 0.25
    burst: int = 3
    linger_s: float = 1.0
    wait_s: float = 2.0
    resolve_s: float = 1.5
    retry_base_s: float = 0.1
    retry_cap_s: float = 1.0
    idle_s: float = 60.0
    object_bytes: int = 800_000
    body_bytes: int = 4096
    fold_after_s: int = _HOUR_S
    fold_at_once: int = 256
    bodies_bytes: int = 400_000
