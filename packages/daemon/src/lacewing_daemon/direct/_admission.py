"""Admit requests by the routing configuration."""

from dataclasses import dataclass
from random import Random

from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon.direct._call import CallerRequest
from lacewing_daemon.direct._routing_config import Route
from lacewing_daemon.direct._routing_config import RoutingConfig
from lacewing_daemon.direct._routing_config import Service
from lacewing_daemon.direct._routing_config import Team

# A router without a configuration has one within a few calls to the store.
NOT_READY_RETRY_S = 0.1
# Other routers usually reach the store, and a caller that retries reaches
# another router. Half a second would make its answer late.
UNCONFIRMED_RETRY_S = 0.03


@dataclass(frozen=True)
class Admitted:
    """Hold a request's route, service and team (None on public routes)."""

    route: Route
    service: Service
    team: Team | None

    @property
    def team_name(self) -> str:
        """Return the team's name, '' on public routes."""
        return '' if self.team is None else self.team.name


def admit(
    request: CallerRequest,
    routing_config: RoutingConfig | None,
    keys_confirmed: bool,
    random: Random,
) -> Admitted | Refusal:
    """Find the route, team and service of a request."""
    if routing_config is None:
        return not_run(
            Reason.NOT_READY,
            'no configuration was read yet; repeat the request',
            NOT_READY_RETRY_S,
        )
    route = routing_config.route(request.host, request.path)
    if route is None:
        return not_run(
            Reason.UNKNOWN_PATH, f'no route for {request.host}{request.path}'
        )
    team: Team | None = None
    if routing_config.teams is not None and not route.is_public:
        if not keys_confirmed:
            # The key may have been revoked without this router knowing.
            return not_run(
                Reason.PLATFORM_UNAVAILABLE,
                'keys could not be confirmed lately; repeat the request',
                UNCONFIRMED_RETRY_S,
            )
        team = routing_config.teams.get(request.key)
        if team is None:
            return not_run(Reason.BAD_KEY, 'unknown key')
    received_bytes = request.dropped_bytes or len(request.body)
    max_body_bytes = routing_config.limits.max_body_bytes
    if request.dropped_bytes or received_bytes > max_body_bytes:
        return not_run(
            Reason.TOO_LARGE,
            f'at most {max_body_bytes} bytes are taken, got {received_bytes}',
        )
    if route.is_streaming and request.place_error:
        return not_run(Reason.BAD_REQUEST, request.place_error)
    service = _draw_service(route, routing_config, random)
    if service is None:
        return not_run(Reason.NO_WORKER, 'no service on this route', 1.0)
    return Admitted(route, service, team)


def confirm_key(
    request: CallerRequest,
    admitted: Admitted,
    routing_config: RoutingConfig | None,
    keys_confirmed: bool,
) -> Refusal | None:
    """Check the key of a request that was admitted some time ago."""
    if admitted.team is None or routing_config is None:
        return None
    if not keys_confirmed:
        return not_run(
            Reason.PLATFORM_UNAVAILABLE,
            'keys could not be confirmed lately; repeat the request',
            UNCONFIRMED_RETRY_S,
        )
    if request.key not in (routing_config.teams or {}):
        return not_run(Reason.BAD_KEY, 'the key was taken away meanwhile')
    return None


def _draw_service(
    route: Route, routing_config: RoutingConfig, random: Random
) -> Service | None:
    names = []
    weights = []
    for share in route.shares:
        if share.weight <= 0 or share.service not in routing_config.services:
            continue
        names.append(share.service)
        weights.append(share.weight)
    if not names:
        return None
    if len(names) == 1:
        return routing_config.services[names[0]]
    return routing_config.services[random.choices(names, weights)[0]]
