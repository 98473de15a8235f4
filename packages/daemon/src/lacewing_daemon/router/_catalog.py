"""Answer what the bundle in force says of keys, services and models."""

from lacewing_common.bundle import Adapter
from lacewing_common.bundle import Model
from lacewing_common.bundle import RolledBundle
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team
from lacewing_common.verdict import not_run
from lacewing_common.verdict import Reason
from lacewing_common.verdict import Refusal

from lacewing_daemon.router._keys import KeyTable


class Catalog:
    """Index one rolled bundle; never changed once built."""

    def __init__(self, rolled: RolledBundle) -> None:
        bundle = rolled.bundle
        self._number = rolled.number
        self._secret = bytes.fromhex(bundle.prefix_secret)
        self._keys = KeyTable(bundle.teams)
        self._services: dict[str, Service] = {}
        self._models: dict[str, Model] = {}
        self._service_of_model: dict[str, Service] = {}
        for model in bundle.models:
            self._models[model.name] = model
        for service in bundle.services:
            self._services[service.name] = service
            if service.kind is not ServiceKind.MODEL:
                continue
            for name in service.models:
                self._service_of_model[name] = service

    @property
    def number(self) -> int:
        """Return the roll number; 0 before the first bundle."""
        return self._number

    @property
    def prefix_secret(self) -> bytes:
        """Return the secret that keys the prefix hashes."""
        return self._secret

    def team(self, authorization: str) -> Team | Refusal:
        """Return the team that an Authorization header names."""
        return self._keys.find(authorization)

    def plain_service(self, team: Team, name: str) -> Service | Refusal:
        """Return a plain service that a team may call."""
        service = self._services.get(name)
        if service is None or service.kind is not ServiceKind.PLAIN:
            return not_run(
                Reason.UNKNOWN_SERVICE,
                f'expected the name of a plain service, got {name!r}',
            )
        return self._allowed(team, service)

    def model_service(self, team: Team, model: str) -> Service | Refusal:
        """Return the service of a model that a team may call."""
        service = self._service_of_model.get(model)
        if service is None or model not in self._models:
            return not_run(
                Reason.UNKNOWN_MODEL,
                f'no service runs the model {model!r};'
                ' GET /v1/models lists those of your team',
            )
        return self._allowed(team, service)

    def service(self, name: str) -> Service | None:
        """Return a service by name, as this bundle describes it."""
        return self._services.get(name)

    def model(self, name: str) -> Model:
        """Return a model that ``model_service`` knew."""
        return self._models[name]

    def adapter(self, model: str, name: str) -> Adapter | Refusal:
        """Return an adapter of a known model."""
        for adapter in self._models[model].adapters:
            if adapter.name == name:
                return adapter
        return not_run(
            Reason.UNKNOWN_MODEL,
            f'the model {model!r} has no adapter {name!r};'
            ' GET /v1/models lists those of your team',
        )

    def models_of(self, team: Team) -> tuple[str, ...]:
        """Return each model, and model:adapter, that a team may call."""
        names: list[str] = []
        for model, service in self._service_of_model.items():
            if service.name not in team.services:
                continue
            if model not in self._models:
                continue
            names.append(model)
            for adapter in self._models[model].adapters:
                names.append(f'{model}:{adapter.name}')
        return tuple(names)

    def _allowed(self, team: Team, service: Service) -> Service | Refusal:
        if service.name in team.services:
            return service
        return not_run(
            Reason.NOT_ALLOWED,
            f'the team {team.name!r} may not call the service'
            f' {service.name!r}; ask an operator to add it to the bundle',
        )
