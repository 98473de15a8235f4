"""Define the parameters of admission and placement under load."""

import msgspec

from lacewing_daemon.direct._site import SwitchMode


class LoadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the limits of admission and the weights of placement.

    ``prefill_tokens_per_ms``: prefill speed of an engine.
    ``step_ms``: time that an engine takes to generate a token.
    ``usual_read_ms``: prefill time assumed for a request of another router.
    ``load_ms``: duration of a load of weights. These four are defaults until
    estimates from the engines of a service replace them.
    ``patience``: fraction of a request's latency target within which its
    first event must be expected, or the request is refused; the rest is a
    margin for estimation errors.
    ``other_zone_ms``: how much sooner an upstream of another availability
    zone must be expected to answer to be preferred.
    ``kept_at_first``: fraction of a prompt's shared tokens that is expected
    to be cached at the first engine in the prompt's order, to which all
    routers send it, beyond what this router has sent there itself.
    ``max_waiting``: maximum number of requests without a first event that
    one router has at an engine, unless it is the only one. Routers don't see
    each other's requests, so with more of them engines queue beyond the
    latency target.
    ``max_in_flight``: maximum number of requests that one router has at an
    engine.
    ``mute_ms``: minimum silence after which an engine with open streams is
    considered lost; slower engines raise the bound.
    ``copies_part``: fraction of an engine's memory that copies of runs
    elsewhere may take, for all routers together.
    ``load_turns``: one engine in so many loads new weights at a time; more
    at once would slow each other down.
    ``load_early_part``: fraction of the engines that loads a version as soon
    as it is released; the remaining engines follow after ``load_late_ms``,
    by when most runs that were open there have ended.
    ``load_turn_ms``: interval between two turns of loads.
    ``lost_run_ms``: how much sooner a first event must be expected of an
    engine that is about to load, if the load would lose the whole run.
    ``old_weights_ms``: the same for an engine with superseded weights, from
    ``old_weights_s`` after the release on, when its answers count less.
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
