"""Give a role its runtime from memory, for focused tests."""

import asyncio
from collections.abc import Callable

from lacewing_common.bundle import Bundle
from lacewing_common.bundle import NO_BUNDLE
from lacewing_common.bundle import RolledBundle
from lacewing_common.identity import new_incarnation
from lacewing_common.identity import Place
from lacewing_common.identity import ProcessName
from lacewing_common.identity import Role
from lacewing_common.settings import Settings
from lacewing_daemon.runtime import Runtime


class FakeBundles:
    """Hold a bundle that a test rolls."""

    def __init__(self) -> None:
        self._current = NO_BUNDLE
        self._callbacks: list[Callable[[RolledBundle], None]] = []

    @property
    def current(self) -> RolledBundle:
        """Return the bundle in force; number 0 before the first."""
        return self._current

    def on_change(self, callback: Callable[[RolledBundle], None]) -> None:
        """Call back after each change, with the new bundle."""
        self._callbacks.append(callback)

    def roll(self, bundle: Bundle) -> None:
        """Put a bundle in force."""
        number = self._current.number + 1
        self._current = RolledBundle(number, f'digest-{number}', bundle)
        for callback in self._callbacks:
            callback(self._current)


class FakeMembers:
    """Hold the agents' addresses that a test sets."""

    def __init__(self) -> None:
        self.addresses: tuple[str, ...] = ()
        self.leaving_addresses: frozenset[str] = frozenset()

    def agent_addresses(self) -> tuple[str, ...]:
        """Return ``ip:port`` of each agent not known to have left."""
        return self.addresses

    def is_leaving(self, address: str) -> bool:
        """Tell whether the platform says that an agent's VM is leaving."""
        return address in self.leaving_addresses


def router_runtime(
    name: str, bundles: FakeBundles, members: FakeMembers
) -> Runtime:
    """Build the runtime of a router on a free port of loopback."""
    settings = Settings(
        role=Role.ROUTER, process_id=name, place=Place('test', 'zone-1')
    )
    return Runtime(
        name=ProcessName(name, new_incarnation()),
        settings=settings,
        bundles=bundles,
        members=members,
        stopping=asyncio.Event(),
    )
