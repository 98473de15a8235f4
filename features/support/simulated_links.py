"""Carry messages about limits between routers in simulated time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random
from typing import Protocol

from lacewing_daemon.direct.limits._messages import TokenReply
from lacewing_daemon.direct.limits._messages import TokenRequest

ONE_WAY_S = 0.002
IsCut = Callable[[int, int], bool]
Serve = Callable[[TokenRequest], TokenReply]


def never_cut(_one: int, _other: int) -> bool:
    """Let all routers reach each other."""
    return False


class Network(Protocol):
    """Hold routers by index, some of which are cut off from each other."""

    size: int
    seed: int
    messages: int

    @property
    def is_cut(self) -> IsCut:
        """Return whether messages between two routers are lost."""

    def cut(self, is_cut: IsCut) -> None:
        """Lose the messages between some routers from now on."""

    def serving(self, index: int) -> Serve | None:
        """Return how a router serves its peers, None if it is down."""


class Carrier:
    """Carry messages with a delay; a cut loses requests and replies."""

    def __init__(self, network: Network, index: int) -> None:
        self._network = network
        self._index = index

    async def move(
        self, address: str, request: TokenRequest, timeout_s: float
    ) -> TokenReply | None:
        """Return the reply, None if it was lost."""
        network, other = self._network, int(address)
        network.messages += 1
        await asyncio.sleep(ONE_WAY_S)
        serve = network.serving(other)
        if serve is None or network.is_cut(self._index, other):
            await asyncio.sleep(timeout_s - ONE_WAY_S)
            return None
        reply = serve(request)
        await asyncio.sleep(ONE_WAY_S)
        if network.is_cut(other, self._index):
            await asyncio.sleep(timeout_s - 2 * ONE_WAY_S)
            return None
        return reply


def cut_halves(
    after_s: float, duration_s: float
) -> Callable[[Network], Awaitable[None]]:
    """Return a fault that cuts the routers in two for a while."""

    async def cut(network: Network) -> None:
        half = network.size // 2
        await asyncio.sleep(after_s)
        network.cut(lambda one, other: (one < half) != (other < half))
        await asyncio.sleep(duration_s)
        network.cut(never_cut)

    return cut


async def cut_others_each_second(network: Network) -> None:
    """Cut a third of the routers off, others about each second."""
    random = Random(network.seed)
    while True:
        alone = set(random.sample(range(network.size), network.size // 3))
        network.cut(lambda one, other: (one in alone) != (other in alone))
        await asyncio.sleep(random.uniform(0.2, 2.0))
