"""Hold each service's policy and what it has learnt."""

import random
from collections.abc import Callable
from typing import TypeAlias

from lacewing_common.bundle import PolicyName
from lacewing_common.bundle import Service
from lacewing_common.identity import Place
from lacewing_common.log import get_log
from lacewing_common.log import Part

from lacewing_daemon.router._baselines import LeastLoad
from lacewing_daemon.router._baselines import PrefixHash
from lacewing_daemon.router._baselines import RandomChoice
from lacewing_daemon.router._baselines import RoundRobin
from lacewing_daemon.router._expected_cost import ExpectedCost
from lacewing_daemon.router._policy import CacheChange
from lacewing_daemon.router._policy import Observation
from lacewing_daemon.router._policy import Policy

_log = get_log(Part.ROUTING)

PolicyMaker: TypeAlias = Callable[[Place, random.Random], Policy]

_installed: dict[PolicyName, PolicyMaker] = {}


class Knowledge:
    """Give each service the policy that the bundle selects."""

    def __init__(self, place: Place, rng: random.Random) -> None:
        self._place = place
        self._rng = rng
        self._policies: dict[str, tuple[PolicyName, Policy]] = {}

    def policy(self, service: Service) -> Policy:
        """Return a service's policy; a new one when the bundle changed it."""
        kept = self._policies.get(service.name)
        if kept is not None and kept[0] is service.policy:
            return kept[1]
        policy = make_policy(service.policy, self._place, self._rng)
        self._policies[service.name] = (service.policy, policy)
        return policy

    def observe(self, observation: Observation) -> None:
        """Let the policy learn from the end of an attempt."""
        self.policy(observation.request.service).observe(observation)

    def hear(self, service: str, change: CacheChange) -> None:
        """Let the policy learn from a digest of a service's worker."""
        kept = self._policies.get(service)
        if kept is not None:
            kept[1].hear(change)

    def forget(self, process_id: str) -> None:
        """Drop what was learnt of a worker that restarted or left."""
        for _, policy in self._policies.values():
            policy.forget(process_id)


def install(name: PolicyName, maker: PolicyMaker) -> None:
    """Have a policy made by code from outside the router.

    The bench installs its oracle, which reads what only stand-ins tell.
    """
    _installed[name] = maker


def make_policy(name: PolicyName, place: Place, rng: random.Random) -> Policy:
    """Build a policy by its name in the bundle."""
    installed = _installed.get(name)
    if installed is not None:
        return installed(place, rng)
    if name is PolicyName.ORACLE:
        # Perfect knowledge exists only in the bench; a service that selects
        # it still has to be served.
        _log.warning('The oracle runs in the bench only, using our policy.')
        return ExpectedCost(place, rng)
    makers: dict[PolicyName, Callable[[], Policy]] = {
        PolicyName.RANDOM: lambda: RandomChoice(rng),
        PolicyName.ROUND_ROBIN: lambda: RoundRobin(),
        PolicyName.LEAST_LOAD: lambda: LeastLoad(rng),
        PolicyName.PREFIX_HASH: lambda: PrefixHash(rng),
        PolicyName.EXPECTED_COST: lambda: ExpectedCost(place, rng),
    }
    return makers[name]()
