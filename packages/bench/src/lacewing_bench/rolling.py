"""Sign and roll bundles at a platform, for launchers, demo and tests."""

from dataclasses import dataclass
from datetime import datetime
from datetime import UTC
from secrets import token_hex

import msgspec
from lacewing_common.audit import append_rolls
from lacewing_common.audit import AuditLog
from lacewing_common.audit import AuditReader
from lacewing_common.audit import BUNDLE_TRAIL
from lacewing_common.bundle import Bundle
from lacewing_common.bundle import Operator
from lacewing_common.bundles import BundleValidator
from lacewing_common.bundles import contents_of_parts
from lacewing_common.bundles import new_key
from lacewing_common.bundles import OperatorKey
from lacewing_common.bundles import RollOrder
from lacewing_common.bundles import sign_off
from lacewing_common.bundles import SignOffRole
from lacewing_common.bundles import split
from lacewing_common.platform_client import PlatformClient
from lacewing_common.rolls import BundleHistory
from lacewing_common.rolls import BundleRoller
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.rolls import RollResult
from lacewing_common.rolls import StoredHead
from lacewing_common.store import ObjectStore

_NONCE_BYTES = 16


@dataclass(frozen=True)
class Roller:
    """Hold the one operator of a fleet on one machine."""

    key: OperatorKey

    @property
    def root_operators(self) -> tuple[Operator, ...]:
        """Return what belongs in the settings of each daemon."""
        return (self.key.public,)

    async def roll(
        self, store: ObjectStore, bundle: Bundle
    ) -> RollResult | RollError:
        """Sign a bundle, roll it upon the one in force, enter it."""
        guard = BundleValidator(self.root_operators)
        reads = BundleHistory(store, guard)
        base = await reads.head()
        number = 0
        if isinstance(base, StoredHead):
            number = base.head.version
        elif base.fault is not RollFault.NOT_FOUND:
            return base
        order = self.order(bundle)
        rolled = await BundleRoller(store, guard).roll(order, number, self.key)
        if isinstance(rolled, RollError):
            return rolled
        log = AuditLog(store, BUNDLE_TRAIL)
        entered = await append_rolls(log, AuditReader(store), reads)
        return entered if isinstance(entered, RollError) else rolled

    async def roll_at(
        self, platform_url: str, bundle: Bundle
    ) -> RollResult | RollError:
        """Roll through a client of the platform's HTTP API."""
        client = PlatformClient(platform_url)
        try:
            return await self.roll(client, bundle)
        finally:
            client.close()

    def order(self, bundle: Bundle) -> RollOrder:
        """Sign a bundle off with this operator's key."""
        listed = msgspec.structs.replace(bundle, operators=self.root_operators)
        parts = split(listed)
        at = datetime.now(UTC).isoformat(timespec='seconds')
        digest = contents_of_parts(parts).digest
        signed = sign_off(digest, SignOffRole.AUTHOR, at, self.key)
        return RollOrder(parts, (signed,), at, token_hex(_NONCE_BYTES))


def new_roller() -> Roller:
    """Make an operator with a key of its own."""
    return Roller(new_key('launcher'))
