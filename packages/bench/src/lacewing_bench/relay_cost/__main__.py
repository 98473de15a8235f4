"""Print the cost of the relay: ``python -m lacewing_bench.relay_cost``."""

import asyncio
import sys
from pathlib import Path

import fire
import msgspec
from lacewing_common.exits import Exit
from tabulate import tabulate

from lacewing_bench.relay_cost._measure import measure
from lacewing_bench.relay_cost._measure import RelayError
from lacewing_bench.relay_cost._measure import RelaySetup

_STREAMS = (1, 4)
GOAL_US = 100.0


def main(
    workers: int = 9,
    rounds: int = 5,
    step_ms: float = 12.0,
    output: str = 'build/relay-cost',
) -> None:
    """Measure CPU time per token and the latency added to the first token.

    Args:
        workers: number of engines behind the single router.
        rounds: consecutive answers of 200 tokens per stream.
        step_ms: time between two tokens of a stream, in milliseconds.
        output: directory to write relay-cost.json to.
    """
    costs = []
    for streams in _STREAMS:
        setup = RelaySetup(workers, streams, rounds, step_ms)
        try:
            costs.append(asyncio.run(measure(setup)))
        except RelayError as error:
            print(f'relay-cost: {error}', file=sys.stderr)
            sys.exit(Exit.FAILED)
    rows: list[list[object]] = []
    for name in costs[0].__struct_fields__:
        rows.append([name, *[getattr(cost, name) for cost in costs]])
    print(tabulate(rows, floatfmt='.1f'))
    directory = Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(costs))
    (directory / 'relay-cost.json').write_bytes(encoded)
    worst_us = max(cost.router_us for cost in costs)
    print(f'router: {worst_us:.0f} us a token at worst; goal {GOAL_US:.0f}')


if __name__ == '__main__':
    fire.Fire(main, name='relay-cost')
