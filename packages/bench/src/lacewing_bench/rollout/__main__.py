"""Run the measurement: ``python -m lacewing_bench.rollout``."""

import asyncio

import fire
from lacewing_common.settings import PeerSettings
from tabulate import tabulate

from lacewing_bench.rollout._run import DOWN
from lacewing_bench.rollout._run import Phase
from lacewing_bench.rollout._run import Rollout
from lacewing_bench.rollout._run import SLOW

_HEADERS = (
    'platform',
    'rolls',
    'p50 s',
    'p99 s',
    'max s',
    'missing',
    'reads/roll',
)


async def _measure(processes: int, rolls: int, exchange_s: float) -> None:
    rollout = Rollout(processes, PeerSettings(exchange_s=exchange_s))
    async with rollout.fleet:
        await rollout.settle()
        idle = await rollout.idle()
        print(f'\n{processes} processes, each in a second while idle:')
        print(
            f'  {idle.cpu_share:.2%} of a core, {idle.memory_mb:.1f} MB'
            f' resident, {idle.exchanges:.2f} exchanges begun,'
            f' {idle.message_bytes:.0f} bytes of their messages\n'
            f'  platform: {idle.watches} watches wait,'
            f' {idle.vm_list_reads:.1f} reads of the VM list a second'
        )
        phases: list[Phase] = []
        phases.append(await rollout.leaving(rolls))
        phases.append(await rollout.phase('up', rolls, {}, {}, False))
        phases.append(
            await rollout.phase('slow 1 s', rolls, SLOW, SLOW, False)
        )
        phases.append(
            await rollout.phase('down, handed over', rolls, {}, DOWN, True)
        )
    print(tabulate([phase.row() for phase in phases], _HEADERS))


def main(
    processes: str = '20,40,80', rolls: int = 10, exchange_s: float = 1.0
) -> None:
    """Measure fleets of several sizes, one after the other.

    Args:
        processes: the numbers of daemons, routers and agents, with commas.
        rolls: rolls under each condition of the platform.
        exchange_s: the mean seconds between two exchanges of a process.
    """
    sizes = processes
    if isinstance(sizes, int):
        sizes = str(sizes)
    if not isinstance(sizes, str):
        sizes = ','.join(str(each) for each in sizes)
    for size in sizes.split(','):
        asyncio.run(_measure(int(size), rolls, exchange_s))


if __name__ == '__main__':
    fire.Fire(main)
