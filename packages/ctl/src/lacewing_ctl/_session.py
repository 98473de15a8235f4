"""Connect a command to the platform."""

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
    """Provide access to the platform for one command."""

    def __init__(
        self, client: PlatformClient, profile: Profile, retry_limit_s: float
    ) -> None:
        self.store = client
        retry_policy = RetryPolicy(give_up_after_s=retry_limit_s)
        validator = BundleValidator(profile.root_operators)
        self.bundle_history = BundleHistory(client, validator, retry_policy)
        self.bundle_roller = BundleRoller(client, validator, retry_policy)
        self.audit_reader = AuditReader(client, retry_policy)
        self.bundle_trail = AuditLog(client, BUNDLE_TRAIL, retry_policy)


def in_session(
    profile: Profile,
    retry_limit_s: float,
    work: Callable[[Session], Awaitable[T | RollError | StoreError]],
) -> T:
    """Run work in a session; exit with the code of its error."""
    result = asyncio.run(_run(profile, retry_limit_s, work))
    if isinstance(result, RollError):
        exit_with_error(result)
    if isinstance(result, StoreError):
        exit_with_error(RollError(RollFault.UNAVAILABLE, result.message))
    return result


async def _run(
    profile: Profile,
    retry_limit_s: float,
    work: Callable[[Session], Awaitable[T | RollError | StoreError]],
) -> T | RollError | StoreError:
    if not profile.platform:
        exit_with(
            Exit.USAGE, 'expected the URL of the platform in the profile'
        )
    options = ClientOptions(ca_file=profile.authority or None)
    client = PlatformClient(profile.platform, options)
    try:
        return await work(Session(client, profile, retry_limit_s))
    finally:
        client.close()
