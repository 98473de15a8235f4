"""Validate the contents of a decoded bundle, beyond its field types."""

from collections.abc import Iterator

from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team
from lacewing_common.bundles._capacity import check_capacity
from lacewing_common.bundles._pins import check_pins
from lacewing_common.bundles._problems import closest
from lacewing_common.bundles._problems import Problem

_HEX_DIGITS = frozenset('0123456789abcdef')
_SHA256_HEX_CHARS = 64
_PUBLIC_KEY_HEX_CHARS = 64


def check_bundle(bundle: Bundle) -> tuple[Problem, ...]:
    """Return all problems of a bundle, in field order."""
    services = frozenset(service.name for service in bundle.services)
    return (*check_teams(bundle.teams, services), *check_rest(bundle))


def check_rest(bundle: Bundle) -> tuple[Problem, ...]:
    """Return the problems of everything except the teams."""
    return (
        *_check_services(bundle),
        *_check_models(bundle),
        *check_capacity(bundle),
        *_check_secret(bundle),
        *_check_operators(bundle),
    )


def check_teams(
    teams: tuple[Team, ...], services: frozenset[str]
) -> tuple[Problem, ...]:
    """Return the problems of teams; ``services`` are the valid names."""
    names = [team.name for team in teams]
    problems = list(_check_names('$.teams', names))
    owners: dict[str, str] = {}
    for index, team in enumerate(teams):
        path = f'$.teams[{index}]'
        problems.extend(
            _check_references(
                f'{path}.services', team.services, services, 'service'
            )
        )
        problems.extend(_check_team_keys(path, team, owners))
        problems.extend(_check_team_numbers(path, team))
    return tuple(problems)


def _check_team_keys(
    path: str, team: Team, owners: dict[str, str]
) -> Iterator[Problem]:
    if not team.key_hashes:
        yield Problem(
            f'{path}.key_hashes',
            f'expected at least one key of the team {team.name!r}',
        )
    for index, key_hash in enumerate(team.key_hashes):
        item_path = f'{path}.key_hashes[{index}]'
        if not _is_hex(key_hash, _SHA256_HEX_CHARS):
            yield Problem(
                item_path,
                f'expected a SHA-256 as 64 hex digits, got {key_hash!r}',
            )
            continue
        owner = owners.setdefault(key_hash, team.name)
        if owner != team.name:
            yield Problem(item_path, f'duplicate: the key of team {owner!r}')


def _check_team_numbers(path: str, team: Team) -> Iterator[Problem]:
    if team.share <= 0:
        yield _not_positive(f'{path}.share', team.share)
    limits = team.limits
    limit_values: list[tuple[str, float]] = [
        ('requests_per_s', limits.requests_per_s),
        ('tokens_per_s', limits.tokens_per_s),
        ('concurrency', limits.concurrency),
    ]
    for field, value in limit_values:
        if value < 0:
            yield _negative(f'{path}.limits.{field}', value)


def _check_services(bundle: Bundle) -> Iterator[Problem]:
    known = frozenset(model.name for model in bundle.models)
    names = [service.name for service in bundle.services]
    yield from _check_names('$.services', names)
    owners: dict[str, str] = {}
    for index, service in enumerate(bundle.services):
        path = f'$.services[{index}]'
        yield from _check_references(
            f'{path}.models', service.models, known, 'model'
        )
        yield from _check_kind(path, service)
        yield from _check_service_numbers(path, service)
        yield from check_pins(path, service)
        if service.kind is not ServiceKind.MODEL:
            continue
        for number, model in enumerate(service.models):
            owner = owners.setdefault(model, service.name)
            if owner != service.name:
                yield Problem(
                    f'{path}.models[{number}]',
                    f'duplicate: the model {model!r} belongs to the service'
                    f' {owner!r}',
                )


def _check_kind(path: str, service: Service) -> Iterator[Problem]:
    is_model = service.kind is ServiceKind.MODEL
    if is_model and not service.models:
        yield Problem(
            f'{path}.models',
            f'expected a model of the model service {service.name!r}',
        )
    if not is_model and service.models:
        yield Problem(
            f'{path}.models',
            f'expected no models of a service of kind {service.kind.value!r}',
        )
    for index, prefix in enumerate(service.at_most_once_paths):
        if not prefix.startswith('/'):
            yield Problem(
                f'{path}.at_most_once_paths[{index}]',
                f'expected a path that starts with /, got {prefix!r}',
                f'/{prefix}',
            )


def _check_service_numbers(path: str, service: Service) -> Iterator[Problem]:
    positive: list[tuple[str, float]] = [
        ('first_token_ms', service.first_token_ms),
        ('answer_ms', service.answer_ms),
        ('loads_at_once', service.loads_at_once),
    ]
    for field, value in positive:
        if value <= 0:
            yield _not_positive(f'{path}.{field}', value)
    weights = service.weights
    not_negative: list[tuple[str, float]] = [
        ('weights.tail', weights.tail),
        ('weights.recomputation', weights.recomputation),
        ('worker_memory_gb', service.worker_memory_gb),
    ]
    for field, value in not_negative:
        if value < 0:
            yield _negative(f'{path}.{field}', value)


def _check_models(bundle: Bundle) -> Iterator[Problem]:
    names = [model.name for model in bundle.models]
    yield from _check_names('$.models', names)
    for index, model in enumerate(bundle.models):
        path = f'$.models[{index}]'
        if not model.weights:
            yield Problem(f'{path}.weights', "expected a version, got ''")
        adapters = [adapter.name for adapter in model.adapters]
        yield from _check_names(f'{path}.adapters', adapters)
        for number, adapter in enumerate(model.adapters):
            if not adapter.version:
                yield Problem(
                    f'{path}.adapters[{number}].version',
                    "expected a version, got ''",
                )


def _check_secret(bundle: Bundle) -> Iterator[Problem]:
    secret = bundle.prefix_secret
    if len(secret) % 2 or not _HEX_DIGITS.issuperset(secret):
        yield Problem(
            '$.prefix_secret', 'expected an even number of hex digits'
        )


def _check_operators(bundle: Bundle) -> Iterator[Problem]:
    names = [operator.name for operator in bundle.operators]
    yield from _check_names('$.operators', names)
    min_keys = 2 if bundle.policies.separate_approver else 1
    keys: dict[str, str] = {}
    for index, operator in enumerate(bundle.operators):
        path = f'$.operators[{index}].public_key'
        if not _is_hex(operator.public_key, _PUBLIC_KEY_HEX_CHARS):
            yield Problem(path, 'expected an Ed25519 key as 64 hex digits')
            continue
        owner = keys.setdefault(operator.public_key, operator.name)
        if owner != operator.name:
            yield Problem(path, f'duplicate: the key of {owner!r}')
    if len(keys) < min_keys:
        yield Problem(
            '$.operators',
            f'expected at least {min_keys} with keys of their own; otherwise'
            ' nobody could sign the next bundle off',
        )


def _check_names(path: str, names: list[str]) -> Iterator[Problem]:
    first_indices: dict[str, int] = {}
    for index, name in enumerate(names):
        item_path = f'{path}[{index}].name'
        if not name:
            yield Problem(item_path, "expected a name, got ''")
            continue
        seen = first_indices.setdefault(name, index)
        if seen != index:
            yield Problem(
                item_path, f'duplicate: {name!r} is also {path}[{seen}]'
            )


def _check_references(
    path: str, names: tuple[str, ...], known: frozenset[str], what: str
) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        item_path = f'{path}[{index}]'
        if name not in known:
            yield Problem(
                item_path, f'no {what} is named {name!r}', closest(name, known)
            )
        if name in seen:
            yield Problem(item_path, f'duplicate: {name!r}')
        seen.add(name)


def _is_hex(text: str, digits: int) -> bool:
    return len(text) == digits and _HEX_DIGITS.issuperset(text)


def _not_positive(path: str, value: float) -> Problem:
    return Problem(path, f'expected a number above 0, got {value}')


def _negative(path: str, value: float) -> Problem:
    return Problem(path, f'expected 0 or more, got {value}')
