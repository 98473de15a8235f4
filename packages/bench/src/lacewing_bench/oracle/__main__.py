"""Run a router that can select the oracle policy."""

import random
from pathlib import Path

import fire
import msgspec
from lacewing_common.bundle import PolicyName
from lacewing_common.identity import Place
from lacewing_daemon.command import run
from lacewing_daemon.router._knowledge import install

from lacewing_bench.oracle._policy import Oracle


def run_router(settings: str, engines: str) -> None:
    """Run a router whose oracle asks the stand-in engines.

    Args:
        settings: the path of the JSON settings.
        engines: the path of a JSON object, process id to engine URL.
    """
    found = msgspec.json.decode(
        Path(engines).read_bytes(), type=dict[str, str]
    )

    def make(place: Place, rng: random.Random) -> Oracle:
        return Oracle(place, rng, found)

    install(PolicyName.ORACLE, make)
    run(settings)


if __name__ == '__main__':
    fire.Fire(run_router, name='oracle-router')
