"""Run stand-in workers: python -m lacewing_bench.standins --config FILE."""

import asyncio
import signal
import sys
from pathlib import Path

import fire
import msgspec

from lacewing_bench.standins._host import Listening
from lacewing_bench.standins._host import StandinsHost
from lacewing_bench.standins._settings import ConfigError
from lacewing_bench.standins._settings import read_config

_USAGE_ERROR = 2


def _report(listening: Listening) -> None:
    print(msgspec.json.encode(listening).decode(), flush=True)


async def _serve(host: StandinsHost) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    await host.start(_report)
    await stopped.wait()
    await host.close()


def main(config: str) -> None:
    """Run the stand-ins of a settings file until SIGINT or SIGTERM."""
    try:
        settings = read_config(Path(config))
    except ConfigError as error:
        print(error, file=sys.stderr)
        sys.exit(_USAGE_ERROR)
    asyncio.run(_serve(StandinsHost(settings)))


if __name__ == '__main__':
    fire.Fire(main)
