"""Open the platform for one command."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

from lacewing_common.audit import AuditLog
from lacewing_common.audit import AuditReader
from lacewing_common.audit import BUNDLE_TRAIL
from lacewing_common.bundles import BundleValidator
from lacewing_common.exits import Exit
from lacewing_common.platform_client import ClientOptions
from lacewing_common.platform_client import PlatformClient
from lacewing_common.retries import RetryPolicy
from lacewing_common.rolls import BundleHistory
from lacewing_common.rolls import BundleRoller
from lacewing_common.rolls import RollError
from lacewing_common.rolls import RollFault
from lacewing_common.store import StoreError

from lacewing_ctl._exit import exit_with
from lacewing_ctl._exit import exit_with_error
from lacewing_ctl._profile import Profile

T = TypeVar('T')


class Session:
    """Hold what a command needs of the platform."""

    def __init__(
        self, client: PlatformClient, profile: Profile, patience_s: float
    ) -> None:
        self.store = client
        patience = RetryPolicy(give_up_after_s=patience_s)
        guard = BundleValidator(profile.root_operators)
        self.reads = BundleHistory(client, guard, patience)
        self.writes = BundleRoller(client, guard, patience)
        self.trails = AuditReader(client, patience)
        self.trail = AuditLog(client, BUNDLE_TRAIL, patience)


def in_session(
    profile: Profile,
    retry_limit_s: float,
    work: Callable[[Session], Awaitable[T | RollError | StoreError]],
) -> T:
    """Run work on the platform; end with the code of its error."""
    result = asyncio.run(_run(profile, retry_limit_s, work))
    if isinstance(result, RollError):
        exit_with_error(result)
    if isinstance(result, StoreError):
        exit_with_error(RollError(RollFault.UNAVAILABLE, result.message))
    return result


async def _run(
    profile: Profile,
    patience_s: float,
    work: Callable[[Session], Awaitable[T | RollError | StoreError]],
) -> T | RollError | StoreError:
    if not profile.platform:
        exit_with(
            Exit.USAGE, 'expected the URL of the platform in the profile'
        )
    options = ClientOptions(ca_file=profile.authority or None)
    client = PlatformClient(profile.platform, options)
    try:
        return await work(Session(client, profile, patience_s))
    finally:
        client.close()
