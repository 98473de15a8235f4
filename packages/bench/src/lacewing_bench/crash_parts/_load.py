"""Describe the simulated load and what a simulation counts."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True)
class Load:
    """Hold the simulated load; times in seconds, rates per second.

    ``sound_per_upstream``: sound requests for each upstream. ``ratio``: sound
    requests for each one that crashes its upstream. ``culprits`` are tuples
    of parts that stand together in such prompts; each has senders of its own.
    ``middle``: these stand after the common first part, or in its place.
    ``rare_s``: seconds between two such prompts in place of the ratio.
    ``propagation_s``: time until all routers know of a crash. ``killed_s``:
    interval at which a router is killed with all that it holds, 0 for never.
    ``turned_s``: time for which the culprits are sound at first.
    ``first_parts`` and ``middle_parts``: how many there are of each in sound
    prompts, 0 for middle ones in proportion to the upstreams; ``single``:
    share of prompts with a middle part of their own. ``waves``: how often a
    ``wave_share`` of the upstreams terminates within ``wave_spread_s``, from
    the first prompt that crashes upstreams on, ``wave_interval_s`` apart.
    ``report_spread_s`` and ``skew_s``: by how much the time at which the
    report of a router is known, and the clocks of routers, differ.
    """

    routers: int = 4
    upstreams: int = 5
    sound_per_upstream: float = 8.0
    ratio: float = 10.0
    duration_s: float = 30.0
    culprits: tuple[tuple[str, ...], ...] = (('part-bad',),)
    middle: bool = True
    rare_s: float = 0.0
    stray_crash_s: float = 0.0
    propagation_s: float = 0.1
    killed_s: float = 0.0
    turned_s: float = 0.0
    first_event_s: tuple[float, float] = (0.05, 0.2)
    first_parts: int = 6
    middle_parts: int = 0
    single: float = 0.2
    waves: int = 0
    wave_share: float = 0.3
    wave_interval_s: float = 3.5
    wave_spread_s: float = 0.05
    report_spread_s: float = 0.0
    skew_s: float = 0.0


@dataclass
class Outcome:
    """Count what became of the requests of one simulation.

    ``crashes`` and ``late_sends`` map each culprit to the crashes under it
    and to the requests with it that reached upstreams after the fifth of
    these. ``sound`` and ``begun``: sound requests sent once the crashes had
    begun, and those that began at their first attempt; ``broken``: runs of
    sound requests that crashes broke off. ``blocked``: harmless parts that
    were ever blocked.
    """

    crashes: Counter[str] = field(default_factory=Counter)
    late_sends: Counter[str] = field(default_factory=Counter)
    sound: int = 0
    begun: int = 0
    broken: int = 0
    blocked: set[str] = field(default_factory=set)

    @property
    def lost(self) -> int:
        """Return the most crashes under one culprit."""
        return max(self.crashes.values(), default=0)

    @property
    def sends(self) -> int:
        """Return the most sends of one culprit after its fifth crash."""
        return max(self.late_sends.values(), default=0)
