"""Describe what the daemon gives to its role, router or agent."""

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
    """Give the bundle in force."""

    @property
    def current(self) -> RolledBundle:
        """Return the bundle in force; number 0 before the first."""

    def on_change(self, callback: Callable[[RolledBundle], None]) -> None:
        """Call back after each change, with the new bundle."""


class MemberSource(Protocol):
    """Give the peers' addresses as far as they are known."""

    def agent_addresses(self) -> tuple[str, ...]:
        """Return ``ip:port`` of each agent not known to have left."""

    def is_leaving(self, address: str) -> bool:
        """Tell whether the platform says that an agent's VM is leaving."""


class ReadinessCheck(Protocol):
    """Tell whether a role can serve."""

    def __call__(self) -> bool:
        """Return true when requests are taken."""


@dataclass(frozen=True)
class RoleStatus:
    """Hold what a role reports on ``/status``; names to plain values."""

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
        """Return the ``ip:port`` it listens on for peers, or ''."""

    @property
    def callers_address(self) -> str:
        """Return the ``ip:port`` it listens on for callers, or ''."""

    async def drain(self) -> None:
        """Take no new work; return when all open work has ended."""

    async def close(self) -> None:
        """Close listeners and links."""


class AuditSink(Protocol):
    """Take reports for the audit trail; never waits for the platform."""

    def report(
        self,
        action: Action,
        subject: str,
        before: str = '',
        after: str = '',
        result: str = 'done',
    ) -> None:
        """Enter that this process did something."""


class NullAuditSink:
    """Be the sink of a role that runs without a daemon."""

    def report(
        self,
        action: Action,
        subject: str,
        before: str = '',
        after: str = '',
        result: str = 'done',
    ) -> None:
        """Drop the report."""


@runtime_checkable
class ExplanationProvider(Protocol):
    """Tell how a request was routed; a router does."""

    def explain(self, request_id: str) -> object | None:
        """Return the decisions on a request, None when not kept."""


@dataclass(frozen=True)
class Runtime:
    """Hold what every role gets from the daemon.

    ``store`` is None when the settings name no platform.
    ``peer_services`` are to be served on the listener for peers; ``node``
    makes the process one of the fleet, None in focused tests.
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
