"""Measure the size of bundles and edits, and the time to process them.

Run ``python -m lacewing_bench.bundle_cost --teams 8,2500``.
"""

import time
from collections.abc import Callable
from hashlib import sha256
from statistics import median

import fire
import msgspec
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Model
from lacewing_common.bundle import Operator
from lacewing_common.bundle import Service
from lacewing_common.bundle import ServiceKind
from lacewing_common.bundle import Team
from lacewing_common.bundles import BundleValidator
from lacewing_common.bundles import contents_of_parts
from lacewing_common.bundles import make_successor
from lacewing_common.bundles import new_key
from lacewing_common.bundles import OperatorKey
from lacewing_common.bundles import Predecessor
from lacewing_common.bundles import read_bundle_text
from lacewing_common.bundles import RollOrder
from lacewing_common.bundles import sign_off
from lacewing_common.bundles import SignOffRole
from lacewing_common.bundles import split
from lacewing_common.document import Document
from lacewing_common.document_objects import encode_head
from tabulate import tabulate

_MODELS = 6
_SERVICES_PER_TEAM = 3
_RUNS = 15
_TIMESTAMP = '2026-01-01T00:00:00+00:00'
_HEADERS = (
    'teams',
    'bundle B',
    'largest part B',
    'parts',
    'head B',
    'edit parts',
    'edit B',
    'share moved',
    'text ms',
    'cold ms',
    'roll ms',
    'cold/roll',
)


class Cost(msgspec.Struct, frozen=True):
    """Hold the costs at one size; ``edit_bytes`` includes the head."""

    teams: int
    bundle_bytes: int
    largest_part_bytes: int
    parts: int
    head_bytes: int
    edit_parts: int
    edit_bytes: int
    share_moved: float
    text_ms: float
    cold_ms: float
    roll_ms: float
    cold_to_roll: float


def make_bundle(teams: int, operator: Operator) -> Bundle:
    """Return a bundle with ``teams`` teams and one service per model."""
    services: list[Service] = []
    models: list[Model] = []
    for number in range(_MODELS):
        model = Model(name=f'model-{number}', weights='w1')
        models.append(model)
        services.append(
            Service(
                name=f'service-{number}',
                kind=ServiceKind.MODEL,
                models=(model.name,),
            )
        )
    names = tuple(service.name for service in services[:_SERVICES_PER_TEAM])
    team_entries: list[Team] = []
    for number in range(teams):
        name = f'team-{number:05}'
        key_hash = sha256(name.encode()).hexdigest()
        team_entries.append(
            Team(name=name, key_hashes=(key_hash,), services=names)
        )
    return Bundle(
        teams=tuple(team_entries),
        services=tuple(services),
        models=tuple(models),
        prefix_secret='ab' * 32,
        operators=(operator,),
    )


def measure(teams: int) -> Cost:
    """Roll edits of one team each, and validate them as a process does."""
    key = new_key('ana')
    bundle = make_bundle(teams, key.public)
    first = _document(None, bundle, key)
    validator = BundleValidator((key.public,))
    _accept(validator, first)
    rolls: list[float] = []
    last = first
    for number in range(_RUNS):
        bundle = _edit(bundle, number)
        before = last
        last = _document(before, bundle, key)
        rolls.append(_time_ms(_accept, validator, last))
    cold: list[float] = []
    for _ in range(_RUNS):
        cold.append(_time_ms(_accept, BundleValidator((key.public,)), last))
    text = msgspec.json.encode(bundle)
    texts = [_time_ms(read_bundle_text, text) for _ in range(_RUNS)]
    changed = set(last.parts) - set(before.parts)
    head_bytes = len(encode_head(last.head))
    total_bytes = sum(len(part) for part in last.parts)
    bytes_moved = head_bytes + sum(len(part) for part in changed)
    return Cost(
        teams=teams,
        bundle_bytes=total_bytes,
        largest_part_bytes=max(len(part) for part in last.parts),
        parts=len(last.parts),
        head_bytes=head_bytes,
        edit_parts=len(changed),
        edit_bytes=bytes_moved,
        share_moved=bytes_moved / (total_bytes + head_bytes),
        text_ms=median(texts),
        cold_ms=median(cold),
        roll_ms=median(rolls),
        cold_to_roll=median(cold) / median(rolls),
    )


def _accept(validator: BundleValidator, document: Document) -> None:
    """Validate a document, record its trust and assemble it.

    A process does the same at each roll.
    """
    refusal = validator(document)
    if refusal is not None:
        raise ValueError(refusal.message)
    validator.record_trust(document)
    validator.assemble(document)


def _edit(bundle: Bundle, number: int) -> Bundle:
    teams = list(bundle.teams)
    index = number % len(teams)
    share = teams[index].share + 1.0
    teams[index] = msgspec.structs.replace(teams[index], share=share)
    return msgspec.structs.replace(bundle, teams=tuple(teams))


def _document(
    previous: Document | None, bundle: Bundle, key: OperatorKey
) -> Document:
    parts = split(bundle)
    digest = contents_of_parts(parts).digest
    signed = sign_off(digest, SignOffRole.AUTHOR, _TIMESTAMP, key)
    order = RollOrder(parts, (signed,), _TIMESTAMP, digest)
    before: Predecessor | None = None
    if previous is not None:
        before = Predecessor(previous.head, previous.parts[0])
    document = make_successor(before, order, key)
    if not isinstance(document, Document):
        raise ValueError(document.message)
    return document


def _time_ms(work: Callable[..., object], *arguments: object) -> float:
    started = time.perf_counter()
    work(*arguments)
    return (time.perf_counter() - started) * 1000


def main(teams: object = (8, 100, 2500), json: bool = False) -> None:
    """Print sizes in bytes and median times in milliseconds.

    Args:
        teams: numbers of teams, separated by commas.
        json: print JSON instead of a table.
    """
    sizes = teams if isinstance(teams, tuple | list) else (teams,)
    costs = [measure(int(size)) for size in sizes]
    if json:
        print(msgspec.json.encode(costs).decode())
        return
    rows = [msgspec.structs.astuple(cost) for cost in costs]
    print(tabulate(rows, headers=_HEADERS, floatfmt='.2f'))


if __name__ == '__main__':
    fire.Fire(main, name='bundle_cost')
