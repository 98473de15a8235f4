"""Write the bundle of a deployment and the keys of its teams."""

from hashlib import sha256

from lacewing_common.bundle import Adapter
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import CostWeights
from lacewing_common.bundle import Model
from lacewing_common.bundle import PolicyName
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team

from lacewing_bench.fleet._deployment import Deployment
from lacewing_bench.fleet._deployment import MODEL_WEIGHTS

_ADAPTER_VERSION = 'v1'


def team_keys(deployment: Deployment) -> dict[str, str]:
    """Make a key for each team, the same in each run."""
    keys: dict[str, str] = {}
    for team in deployment.teams:
        keys[team.name] = f'{deployment.name}-{team.name}-test-key'
    return keys


def make_bundle(
    deployment: Deployment, policy: PolicyName = PolicyName.EXPECTED_COST
) -> Bundle:
    """Make the bundle that gives each team all services.

    ``policy`` chooses the model workers.
    """
    return Bundle(
        teams=_teams(deployment),
        services=_services(deployment, policy),
        models=(
            Model(
                name=deployment.model,
                weights=MODEL_WEIGHTS,
                adapters=adapters(deployment),
            ),
        ),
        prefix_secret=sha256(deployment.name.encode()).hexdigest(),
    )


def adapters(deployment: Deployment) -> tuple[Adapter, ...]:
    """Return the adapters with their version."""
    made: list[Adapter] = []
    for name in deployment.adapters:
        made.append(Adapter(name=name, version=_ADAPTER_VERSION))
    return tuple(made)


def _teams(deployment: Deployment) -> tuple[Team, ...]:
    keys = team_keys(deployment)
    services = (deployment.model_service, deployment.plain_service)
    teams: list[Team] = []
    for size in deployment.teams:
        digest = sha256(keys[size.name].encode()).hexdigest()
        team = Team(
            name=size.name,
            key_hashes=(digest,),
            services=services,
            share=size.share,
        )
        teams.append(team)
    return tuple(teams)


def _services(
    deployment: Deployment, policy: PolicyName
) -> tuple[Service, ...]:
    weights = CostWeights(
        tail=deployment.tail_weight,
        recomputation=deployment.recomputation_weight,
    )
    model_service = Service(
        name=deployment.model_service,
        kind=ServiceKind.MODEL,
        models=(deployment.model,),
        policy=policy,
        weights=weights,
        loads_at_once=deployment.loads_at_once,
    )
    plain_service = Service(
        name=deployment.plain_service,
        kind=ServiceKind.PLAIN,
        at_most_once_paths=deployment.at_most_once,
    )
    return (model_service, plain_service)
