"""Define the interfaces between the daemon and its role."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from typing import runtime_checkable

from lacewing_common.audit import Action
from lacewing_common.bundle import RolledBundle
from lacewing_common.identity import ProcessName
from lacewing_common.settings import Settings
from lacewing_common.store import ObjectStore

from lacewing_daemon._peers_server import GrpcService
from lacewing_daemon.peers import PeerNode


class BundleSource(Protocol):
    """Provide the active bundle."""

    @property
    def current(self) -> RolledBundle:
        """Return the active bundle; number 0 before the first."""

    def on_change(self, callback: Callable[[RolledBundle], None]) -> None:
        """Register a callback that receives each new bundle."""


class MemberSource(Protocol):
    """Provide the known addresses of peers."""

    def agent_addresses(self) -> tuple[str, ...]:
        """Return ``ip:port`` of each agent not known to have left."""

    def is_leaving(self, address: str) -> bool:
        """Return whether the platform lists an agent's VM as leaving."""


class ReadinessCheck(Protocol):
    """Return whether a role can serve."""

    def __call__(self) -> bool:
        """Return true if requests are accepted."""


@dataclass(frozen=True)
class RoleStatus:
    """Hold the part of ``/status`` that a role reports."""

    ready: bool
    epoch: str
    open_requests: int


class RunningRole(Protocol):
    """Control a started role, router or agent."""

    @property
    def status(self) -> RoleStatus:
        """Return the role's status."""

    @property
    def peers_address(self) -> str:
        """Return the ``ip:port`` of the listener for peers, or ''."""

    @property
    def callers_address(self) -> str:
        """Return the ``ip:port`` of the listener for callers, or ''."""

    async def drain(self) -> None:
        """Refuse new work; return when all open work has ended."""

    async def close(self) -> None:
        """Close listeners and links."""


class AuditSink(Protocol):
    """Accept reports for the audit trail without waiting for the platform."""

    def report(
        self,
        action: Action,
        subject: str,
        before: str = '',
        after: str = '',
        result: str = 'done',
    ) -> None:
        """Report an action of this process."""


class NullAuditSink:
    """Discard the reports of a role that runs without a daemon."""

    def report(
        self,
        action: Action,
        subject: str,
        before: str = '',
        after: str = '',
        result: str = 'done',
    ) -> None:
        """Discard the report."""


@runtime_checkable
class ExplanationProvider(Protocol):
    """Explain how a request was routed; implemented by routers."""

    def explain(self, request_id: str) -> object | None:
        """Return the decisions on a request, None if none are stored."""


@dataclass(frozen=True)
class Runtime:
    """Hold the dependencies that the daemon passes to its role.

    ``store`` is None if the settings name no platform. The role serves
    ``peer_services`` on its listener for peers. ``node`` takes part in the
    fleet's membership; it is None in unit tests.
    """

    name: ProcessName
    settings: Settings
    bundles: BundleSource
    members: MemberSource
    stopping: asyncio.Event
    store: ObjectStore | None = None
    peer_services: tuple[GrpcService, ...] = ()
    audit: AuditSink = NullAuditSink()
    node: PeerNode | None = None
