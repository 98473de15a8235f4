"""Show the status of each process of a fleet."""

import asyncio
import sys

import msgspec
from lacewing_common.exits import Exit
from lacewing_common.status import ProcessStatus
from tabulate import tabulate

from lacewing_ctl._fleet_file import find_fleet
from lacewing_ctl._fleet_file import FleetFile
from lacewing_ctl._operators_client import OperatorsClient
from lacewing_ctl._operators_client import Unanswered

_HEADERS = (
    'process',
    'role',
    'zone',
    'state',
    'open',
    'bundle',
    'epoch',
    'incarnation',
    'address',
)


class Report(msgspec.Struct, frozen=True):
    """Hold the reports; ``unanswered`` maps addresses to error messages."""

    processes: tuple[ProcessStatus, ...]
    unanswered: dict[str, str]


def status(fleet: str = '', address: str = '', json: bool = False) -> None:
    """Show the status of processes; exit code 1 if one gave no answer.

    Args:
        fleet: a JSON file that lists the operators' addresses.
        address: one or more operators' addresses, separated by commas.
        json: print JSON in place of a table.
    """
    report = asyncio.run(_query(find_fleet(fleet, address)))
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        print(_table(report))
    sys.exit(Exit.FAILED if report.unanswered else Exit.OK)


async def _query(fleet: FleetFile) -> Report:
    client = OperatorsClient(fleet.tls)
    try:
        answers = await client.get_all(fleet.operators, '/status')
    finally:
        client.close()
    processes: list[ProcessStatus] = []
    unanswered: dict[str, str] = {}
    for address, answer in zip(fleet.operators, answers, strict=True):
        parsed = _parse(address, answer)
        if isinstance(parsed, Unanswered):
            unanswered[address] = parsed.message
            continue
        processes.append(parsed)
    processes.sort(key=lambda process: process.process_id)
    return Report(tuple(processes), unanswered)


def _parse(
    address: str, answer: bytes | Unanswered
) -> ProcessStatus | Unanswered:
    if isinstance(answer, Unanswered):
        return answer
    try:
        return msgspec.json.decode(answer, type=ProcessStatus)
    except msgspec.DecodeError as error:
        return Unanswered(address, f'not a status: {error}')


def _table(report: Report) -> str:
    rows: list[list[object]] = []
    for process in report.processes:
        rows.append(_row(process))
    for address, message in report.unanswered.items():
        rows.append(['?', '', '', message, '', '', '', '', address])
    return tabulate(rows, headers=_HEADERS)


def _row(process: ProcessStatus) -> list[object]:
    return [
        process.process_id,
        process.role.value,
        process.place.availability_zone,
        _state(process),
        process.open_requests,
        process.bundle_number,
        process.epoch,
        f'{process.incarnation:x}',
        process.addresses.operators,
    ]


def _state(process: ProcessStatus) -> str:
    if process.stopping:
        return 'draining'
    return 'ready' if process.ready else 'not ready'
