"""Define the versioned bundle that operators sign off and roll out."""

from enum import Enum

import msgspec


class ServiceKind(Enum):
    """List the kinds of a service's workers."""

    MODEL = 'model'
    PLAIN = 'plain'
    KV_STORE = 'kv'


class PolicyName(Enum):
    """List the routing policies that a service can select."""

    EXPECTED_COST = 'expected-cost'
    RANDOM = 'random'
    ROUND_ROBIN = 'round-robin'
    LEAST_LOAD = 'least-load'
    PREFIX_HASH = 'prefix-hash'
    ORACLE = 'oracle'


class Part(msgspec.Struct, frozen=True, kw_only=True):
    """Serve as the base class of all parts of a bundle."""


class TeamLimits(Part, forbid_unknown_fields=True, frozen=True):
    """Limit a team across all routers; 0 means no limit."""

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0


class Team(Part, forbid_unknown_fields=True, frozen=True):
    """Describe a team: key hashes (SHA-256, hex), services and share."""

    name: str
    key_hashes: tuple[str, ...]
    services: tuple[str, ...]
    share: float = 1.0
    limits: TeamLimits = TeamLimits()


class Adapter(Part, forbid_unknown_fields=True, frozen=True):
    """Describe an adapter of a model and its active version.

    ``adapter_gb`` is the memory that this version requires, 0: unknown.
    """

    name: str
    version: str
    adapter_gb: float = 0.0


class Model(Part, forbid_unknown_fields=True, frozen=True):
    """Describe a model, its active weights version and its adapters.

    ``weights_gb`` is the memory that this version requires, 0: unknown.
    """

    name: str
    weights: str
    adapters: tuple[Adapter, ...] = ()
    weights_gb: float = 0.0


class Operator(Part, forbid_unknown_fields=True, frozen=True):
    """Describe a signer of bundles by name and Ed25519 public key (hex)."""

    name: str
    public_key: str


class Policies(Part, forbid_unknown_fields=True, frozen=True):
    """Configure which sign-offs the next bundle requires.

    With ``separate_approver``, a second operator must approve the bundle
    that the author signed.
    """

    separate_approver: bool = False


class CostWeights(Part, forbid_unknown_fields=True, frozen=True):
    """Weight tail time to first token and recomputation, each >= 0."""

    tail: float = 1.0
    recomputation: float = 1.0


class Pin(Part, forbid_unknown_fields=True, frozen=True):
    """Pin a copy of a model to a worker or an availability zone.

    ``worker`` is the process id of the worker's agent. Exactly one of
    ``worker`` and ``zone`` is set.
    """

    model: str
    worker: str = ''
    zone: str = ''


class Service(Part, forbid_unknown_fields=True, frozen=True):
    """Describe a service: what it runs and how requests are handled.

    ``at_most_once_paths`` are path prefixes whose calls must not be
    retried. ``loads_at_once`` limits concurrent weight loads.
    ``worker_memory_gb`` is the memory of one worker for weights and
    adapters, 0: unknown. ``pins`` fix the location of copies.
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
    """Hold the complete configuration set by operators.

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
    """Hold an active bundle and its strictly increasing roll number."""

    number: int
    digest: str
    bundle: Bundle


NO_BUNDLE = RolledBundle(0, '', Bundle())
