"""Poll a fleet until a roll is active at each process."""

import asyncio

import msgspec
from lacewing_common.status import ProcessStatus
from tqdm import tqdm

from lacewing_ctl._fleet_file import FleetFile
from lacewing_ctl._operators_client import OperatorsClient
from lacewing_ctl._operators_client import Unanswered

_POLL_INTERVAL_S = 0.2


class Unconfirmed(msgspec.Struct, frozen=True):
    """Hold the address of a process that does not confirm a roll, and why."""

    address: str
    why: str


async def confirm(
    fleet: FleetFile, number: int, digest: str, wait_s: float, quiet: bool
) -> tuple[Unconfirmed, ...]:
    """Poll each process until the roll is active there or time is up.

    A higher number is no confirmation: another operator may have rolled
    since, or the platform was restored from an older snapshot and assigns
    numbers that the fleet has already used. In that case the fleet would
    never accept this roll.
    """
    client = OperatorsClient(fleet.tls)
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    unconfirmed: dict[str, str] = dict.fromkeys(
        fleet.operators, 'not asked yet'
    )
    bar = tqdm(
        total=len(unconfirmed),
        desc=f'roll {number}',
        unit='process',
        disable=quiet,
    )
    try:
        while True:
            await _poll(client, unconfirmed, number, digest)
            bar.update(bar.total - len(unconfirmed) - bar.n)
            if not unconfirmed or loop.time() > deadline:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
    finally:
        bar.close()
        client.close()
    return tuple(Unconfirmed(*each) for each in unconfirmed.items())


async def _poll(
    client: OperatorsClient,
    unconfirmed: dict[str, str],
    number: int,
    digest: str,
) -> None:
    addresses = tuple(unconfirmed)
    answers = await client.get_all(addresses, '/status')
    for address, answer in zip(addresses, answers, strict=True):
        why = _unconfirmed_reason(answer, number, digest)
        if why:
            unconfirmed[address] = why
            continue
        del unconfirmed[address]


def _unconfirmed_reason(
    answer: bytes | Unanswered, number: int, digest: str
) -> str:
    if isinstance(answer, Unanswered):
        return f'gave no answer: {answer.message}'
    try:
        status = msgspec.json.decode(answer, type=ProcessStatus)
    except msgspec.DecodeError as error:
        return f'gave a wrong answer: {error}'
    name = status.process_id
    if status.bundle_number < number:
        return f'{name} has roll {status.bundle_number}'
    if status.bundle_number > number:
        return (
            f'{name} has roll {status.bundle_number}, a later one; if "bundle'
            ' history" does not show it, the platform has lost it: roll with'
            f' --above {status.bundle_number}'
        )
    if status.bundle_digest != digest:
        return f'{name} has another bundle as roll {number}'
    return ''
