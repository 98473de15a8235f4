"""Describe the loads under which requests wait."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random


@dataclass(frozen=True)
class Kind:
    """Describe the requests of one kind; ``rate`` is per second.

    ``burst``: factor of the rate during the burst of a load. The prompt's
    ``shared_tokens`` are taken to be cached at no engine, but half of them
    count in favor of the engine that its subject prefers, as in the router.
    """

    name: str
    urgency: int
    prompt_tokens: int
    output_tokens: int
    rate: float
    target_s: float
    deadline_s: float
    burst: float = 1.0
    shared_tokens: int = 0


QUERY = Kind('query', 0, 826, 58, 108.0, 0.515, 15.5, shared_tokens=198)
AUDIT = Kind('audit', 2, 9190, 10, 35.4, 1.535, 5.1, shared_tokens=6300)


@dataclass(frozen=True)
class Load:
    """Describe a load; ``flooding`` teams send more during the burst.

    ``flood``: the factor of their volume. ``age_s``: age of what a router
    knows of the engines' queues, apart from its own requests.
    """

    kinds: tuple[Kind, ...]
    engines: int
    routers: int = 1
    teams: int = 16
    flooding: int = 0
    flood: float = 1.0
    before_s: float = 3.0
    burst_s: float = 6.5
    after_s: float = 3.0
    age_s: float = 0.0


BURST = Load(
    (
        QUERY,
        replace(AUDIT, burst=2.2),
    ),
    engines=15,
)
# With 12 engines, the flood is 1.2 times what they can serve.
FLOOD = Load((QUERY, AUDIT), engines=12, flooding=2, flood=6.0)
# The urgent kind alone is more than the engines can serve.
STARVING = Load(
    (
        replace(QUERY, burst=4.0),
        replace(AUDIT, rate=6.0),
    ),
    engines=6,
)


@dataclass(eq=False)
class Job:
    """Hold one request and what became of it."""

    kind: Kind
    team: str
    router: int
    arrived_s: float
    in_burst: bool
    preferred: int = 0
    left_tokens: float = 0.0
    output_left: int = 0
    sent_s: float = -1.0
    first_s: float = -1.0
    ended_s: float = -1.0
    refused_s: float = -1.0
    retry_s: float = 0.0
    kv_tokens: int = field(init=False)

    def __post_init__(self) -> None:
        """Set what an engine has to do."""
        self.left_tokens = float(self.kind.prompt_tokens)
        self.output_left = self.kind.output_tokens
        self.kv_tokens = self.kind.prompt_tokens + self.kind.output_tokens

    @property
    def in_time(self) -> bool:
        """Return whether its first event was on time."""
        limit_s = self.arrived_s + self.kind.target_s
        return self.served and self.first_s <= limit_s

    @property
    def served(self) -> bool:
        """Return whether it was complete before its deadline."""
        return 0 <= self.ended_s <= self.arrived_s + self.kind.deadline_s


def arrivals(load: Load, random: Random) -> Iterator[Job]:
    """Yield the requests of a load, by kind and time."""
    # The same requests arrive, whatever the number of routers.
    chosen = Random(random.random())
    end_s = load.before_s + load.burst_s
    for kind in load.kinds:
        at_s = 0.0
        usual = [1.0] * load.teams
        flood = [load.flood] * load.flooding
        flood += [1.0] * (load.teams - load.flooding)
        while at_s < end_s + load.after_s:
            in_burst = load.before_s <= at_s < end_s
            weights = flood if in_burst else usual
            rate = kind.rate * sum(weights) / load.teams
            if in_burst:
                rate *= kind.burst
            at_s += random.expovariate(rate)
            team = random.choices(range(load.teams), weights)[0]
            yield Job(
                kind,
                f'team-{team}',
                chosen.randrange(load.routers),
                at_s,
                in_burst,
                chosen.randrange(load.engines),
            )
