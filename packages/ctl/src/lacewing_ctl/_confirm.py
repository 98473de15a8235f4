"""Watch a fleet until each process has a roll in force."""

import asyncio

import msgspec
from lacewing_common.status import ProcessStatus
from tqdm import tqdm

from lacewing_ctl._fleet_file import FleetFile
from lacewing_ctl._operators_client import OperatorsClient
from lacewing_ctl._operators_client import Unanswered

_POLL_S = 0.2


class Unconfirmed(msgspec.Struct, frozen=True):
    """Name a process that does not have the roll in force, and why."""

    address: str
    why: str


async def confirm(
    fleet: FleetFile, number: int, digest: str, wait_s: float, quiet: bool
) -> tuple[Unconfirmed, ...]:
    """Ask each process until it has the roll in force.

    A higher number does not confirm: another operator may have rolled since,
    or the platform was restored from a copy and gives numbers that the
    fleet has used already; then the fleet would never take this roll.
    """
    client = OperatorsClient(fleet.tls)
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + wait_s
    waiting: dict[str, str] = dict.fromkeys(fleet.operators, 'not asked yet')
    bar = tqdm(
        total=len(waiting),
        desc=f'roll {number}',
        unit='process',
        disable=quiet,
    )
    try:
        while True:
            await _ask(client, waiting, number, digest)
            bar.update(bar.total - len(waiting) - bar.n)
            if not waiting or loop.time() > give_up_at:
                break
            await asyncio.sleep(_POLL_S)
    finally:
        bar.close()
        client.close()
    return tuple(Unconfirmed(*each) for each in waiting.items())


async def _ask(
    client: OperatorsClient,
    waiting: dict[str, str],
    number: int,
    digest: str,
) -> None:
    addresses = tuple(waiting)
    answers = await client.get_all(addresses, '/status')
    for address, answer in zip(addresses, answers, strict=True):
        why = _why_not(answer, number, digest)
        if why:
            waiting[address] = why
            continue
        del waiting[address]


def _why_not(answer: bytes | Unanswered, number: int, digest: str) -> str:
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
