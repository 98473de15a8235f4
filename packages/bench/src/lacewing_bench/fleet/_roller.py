"""Sign and roll bundles as operators do, for fleets of tests."""

import time
from dataclasses import dataclass

from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Operator
from lacewing_common.bundles import BundleValidator
from lacewing_common.document import Document
from lacewing_common.platform_client import PlatformClient
from lacewing_common.rolls import BundleRoller
from lacewing_common.rolls import RollError
from lacewing_common.store import StoredObject
from lacewing_common.store import StoreError

from lacewing_bench.fleet._process import FleetError
from lacewing_bench.rolling import new_roller


@dataclass(frozen=True)
class Acceptance:
    """Hold a document and when the platform had accepted it.

    ``accepted_at`` is in seconds since 1970.
    """

    document: Document
    accepted_at: float

    @property
    def number(self) -> int:
        """Return the number of the roll."""
        return self.document.head.version


class _CountingClient(PlatformClient):
    """Count the reads, so that they are not taken for the fleet's."""

    reads = 0

    async def get(self, kind: str, name: str) -> StoredObject | StoreError:
        """Read one object."""
        self.reads += 1
        return await super().get(kind, name)


class FleetRoller:
    """Roll bundles of one fleet by one operator, with no audit entry.

    The entry would come between the acceptance and its time.
    """

    def __init__(self, platform_url: str) -> None:
        self._platform = _CountingClient(platform_url)
        self._roller = new_roller()
        guard = BundleValidator(self._roller.root_operators)
        self._writes = BundleRoller(self._platform, guard)
        self._number = 0

    @property
    def root_operators(self) -> tuple[Operator, ...]:
        """Return what the settings have to list."""
        return self._roller.root_operators

    @property
    def reads(self) -> int:
        """Return how often objects were read to roll."""
        return self._platform.reads

    async def roll(self, bundle: Bundle) -> Acceptance:
        """Sign a bundle off and roll it."""
        order = self._roller.order(bundle)
        rolled = await self._writes.roll(order, self._number, self._roller.key)
        accepted_at = time.time()
        if isinstance(rolled, RollError) or rolled.document is None:
            raise FleetError(f'expected a roll, got {rolled}')
        self._number = rolled.number
        return Acceptance(rolled.document, accepted_at)

    def close(self) -> None:
        """Close the connections to the platform."""
        self._platform.close()
