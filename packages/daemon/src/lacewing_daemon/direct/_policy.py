"""Hold the figures that the decisions under load are made by."""

import msgspec

from lacewing_daemon.direct._site import SwitchMode


class LoadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Bound and weigh what is admitted and where it is placed.

    ``prefill_tokens_per_ms``: how fast an engine reads a prompt.
    ``step_ms``: time of one step of an engine that is half full.
    ``patience``: the part of a request's target by which its first event
    must be expected, or it is refused; the rest is for errors of the
    estimate.
    ``other_zone_ms``: how much sooner an upstream of another availability
    zone must be expected to answer to be preferred.
    ``max_waiting``: requests without a first event that one router has at
    an engine. Routers do not see each other's: at 1.6 times what 5 engines
    can read, 4 routers with 3 each answer 27% of it in time, with 2 each
    68% (replayed in ``direct_load.feature``).
    ``max_in_flight``: requests that one router has at an engine.
    """

    prefill_tokens_per_ms: float = 110.0
    step_ms: float = 9.0
    patience: float = 0.8
    other_zone_ms: float = 25.0
    max_waiting: int = 2
    max_in_flight: int = 24
    switch_mode: SwitchMode = SwitchMode.KEEP
