"""Measure one row: ``python -m lacewing_bench.bench.row SPECIFICATION``.

The specification and the row on standard output are JSON. The bench starts
this module once for each row, so that no row's client delays another's.
"""

import asyncio
import signal
import sys

import msgspec

from lacewing_bench.bench._row import measure
from lacewing_bench.bench._row import RowSpec


def main() -> None:
    """Measure the row that the argument describes."""
    # Without this a SIGTERM would leave the fleet to the kernel.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    spec = msgspec.json.decode(sys.argv[1], type=RowSpec)
    row = asyncio.run(measure(spec))
    print(msgspec.json.encode(row).decode())


if __name__ == '__main__':
    main()
