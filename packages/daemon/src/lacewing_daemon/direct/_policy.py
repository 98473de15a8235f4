"""Hold the figures that the decisions under load are made by."""

import msgspec

from lacewing_daemon.direct._site import SwitchMode


class LoadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Bound and weigh what is admitted and where it is placed.

    ``prefill_tokens_per_ms``: how fast an engine reads a prompt.
    ``step_ms``: the time that an engine takes for a token of an answer.
    ``usual_read_ms``: reading that a request of another router needs.
    ``load_ms``: how long a load of weights takes. These four hold until the
    engines of a service have shown theirs.
    ``patience``: the part of a request's target by which its first event
    must be expected, or it is refused; the rest is for errors of the
    estimate.
    ``other_zone_ms``: how much sooner an upstream of another availability
    zone must be expected to answer to be preferred.
    ``kept_at_first``: the part of a prompt's shared tokens that is expected
    to be kept at the first engine in the prompt's order, to which all routers
    send it, beyond what this router has sent there itself.
    ``max_waiting``: requests without a first event that one router has at
    an engine. Routers do not see each other's: at 1.6 times what 5 engines
    can read, 4 routers with 3 each answer 27% of it in time, with 2 each
    68% (replayed in ``direct_load.feature``).
    ``max_in_flight``: requests that one router has at an engine.
    ``mute_ms``: an engine with streams under way that gives no event for so
    long is taken for lost at the soonest. Of engines that read 110 tokens a
    ms and lived, none gave three streams or more of a router no event for
    longer than 175 ms (logs of two days); slower ones raise the bound.
    ``copies_part``: the part of an engine's memory that copies of runs
    elsewhere may take, for all routers together.
    ``load_turns``: at most this part of the engines, one in so many, loads
    new weights at a time; more would slow each other down.
    ``load_early_part``: the part of the engines that loads a version as soon
    as it is named; the others follow after ``load_late_ms``, by when most
    runs that were under way there have ended. On the model of engines with
    versions named every 3.2 s, 2,500 ms earn 0.826, 4,000 ms 0.833 and 1,500
    ms 0.767. Where memory is scarce and one version is named in 34 s, 4,000
    ms earned 0.735, 2,500 0.774 and 1,500 0.781, as half of the caches are
    little used meanwhile.
    ``load_turn_ms``: time from one turn to the next.
    ``lost_run_ms``: how much sooner a first event must be expected of an
    engine that is about to load, if the whole run would be lost by it.
    ``old_weights_ms``: the same for an engine with older weights, from
    ``old_weights_s`` after the naming on, when its answers count less.
    """

    prefill_tokens_per_ms: float = 110.0
    step_ms: float = 9.0
    usual_read_ms: float = 30.0
    patience: float = 0.8
    other_zone_ms: float = 25.0
    kept_at_first: float = 0.5
    max_waiting: int = 2
    max_in_flight: int = 24
    mute_ms: float = 220.0
    copies_part: float = 0.1
    load_turns: int = 3
    load_early_part: float = 0.5
    load_late_ms: float = 2500.0
    load_turn_ms: float = 450.0
    load_ms: float = 430.0
    lost_run_ms: float = 100.0
    old_weights_ms: float = 40.0
    old_weights_s: float = 1.2
    switch_mode: SwitchMode = SwitchMode.KEEP
