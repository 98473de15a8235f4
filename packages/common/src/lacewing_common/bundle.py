"""Describe the versioned bundle that operators sign off and roll."""

from enum import Enum

import msgspec


class ServiceKind(Enum):
    """Tell what a service's workers are."""

    MODEL = 'model'
    PLAIN = 'plain'
    KV_STORE = 'kv'


class PolicyName(Enum):
    """Name a routing policy that a service may select."""

    EXPECTED_COST = 'expected-cost'
    RANDOM = 'random'
    ROUND_ROBIN = 'round-robin'
    LEAST_LOAD = 'least-load'
    PREFIX_HASH = 'prefix-hash'
    ORACLE = 'oracle'


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """Mark a part of a bundle."""


class TeamLimits(Part, forbid_unknown_fields=True, frozen=True):
    """Bound a team over all routers; 0 means no bound."""

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0


class Team(Part, forbid_unknown_fields=True, frozen=True):
    """Name a team, its keys (SHA-256, hex), its services and its share."""

    name: str
    key_hashes: tuple[str, ...]
    services: tuple[str, ...]
    share: float = 1.0
    limits: TeamLimits = TeamLimits()


class Adapter(Part, forbid_unknown_fields=True, frozen=True):
    """Name an adapter of a model and the version in force.

    ``adapter_gb`` is the memory that this version needs, 0: not known.
    """

    name: str
    version: str
    adapter_gb: float = 0.0


class Model(Part, forbid_unknown_fields=True, frozen=True):
    """Name a model, the weights version in force and its adapters.

    ``weights_gb`` is the memory that this version needs, 0: not known.
    """

    name: str
    weights: str
    adapters: tuple[Adapter, ...] = ()
    weights_gb: float = 0.0


class Operator(Part, forbid_unknown_fields=True, frozen=True):
    """Name a person who signs bundles, with an Ed25519 public key (hex)."""

    name: str
    public_key: str


class Policies(Part, forbid_unknown_fields=True, frozen=True):
    """Rule how the next bundle is signed off.

    With ``separate_approver`` a second operator has to approve what the
    author signed.
    """

    separate_approver: bool = False


class CostWeights(Part, forbid_unknown_fields=True, frozen=True):
    """Weigh tail time to first token against recomputation, each >= 0."""

    tail: float = 1.0
    recomputation: float = 1.0


class Pin(Part, forbid_unknown_fields=True, frozen=True):
    """Keep a copy of a model at a worker or in an availability zone.

    ``worker`` is the process id of the worker's agent. One of ``worker``
    and ``zone`` is given.
    """

    model: str
    worker: str = ''
    zone: str = ''


class Service(Part, forbid_unknown_fields=True, frozen=True):
    """Describe a service: what it runs and how requests are treated.

    ``at_most_once_paths`` are path prefixes whose calls must not be
    repeated. ``loads_at_once`` bounds concurrent weight loads.
    ``worker_memory_gb`` is what one worker has for weights and adapters,
    0: not known. ``pins`` keep copies in place.
    """

    name: str
    kind: ServiceKind
    models: tuple[str, ...] = ()
    policy: PolicyName = PolicyName.EXPECTED_COST
    weights: CostWeights = CostWeights()
    first_token_ms: float = 1700.0
    answer_ms: float = 120_000.0
    priority: int = 0
    at_most_once_paths: tuple[str, ...] = ()
    continue_elsewhere: bool = True
    fencing_honoured: bool = True
    loads_at_once: int = 2
    worker_memory_gb: float = 0.0
    pins: tuple[Pin, ...] = ()


class Bundle(Part, forbid_unknown_fields=True, frozen=True):
    """Hold all that operators configure.

    ``prefix_secret`` (hex) keys the prefix hashes. ``operators`` and
    ``policies`` decide who may sign the next bundle.
    """

    teams: tuple[Team, ...] = ()
    services: tuple[Service, ...] = ()
    models: tuple[Model, ...] = ()
    prefix_secret: str = ''
    operators: tuple[Operator, ...] = ()
    policies: Policies = Policies()


class RolledBundle(msgspec.Struct, frozen=True):
    """Hold a bundle in force and its strictly growing roll number."""

    number: int
    digest: str
    bundle: Bundle


NO_BUNDLE = RolledBundle(0, '', Bundle())
